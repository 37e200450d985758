package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// Page is what WriteHTML shows.
type Page struct {
	Title  string
	Events []Event
	// Missing are the instances that did not answer; their events are not shown.
	Missing []string
	// Dropped is how many events the instances' rings had overwritten.
	Dropped uint64
}

// WriteHTML writes a self-contained page: one row per instance, events as
// marks in the order of time, hover text, a legend and the table of events.
func WriteHTML(w io.Writer, page Page) error {
	return pageTemplate.Execute(w, newDrawing(page))
}

// drawing is the page with all positions in pixels.
type drawing struct {
	Page
	Width, Height, PlotTop, PlotBottom, Left, Right int
	From, To                                        string
	Rows                                            []*row
	Ticks                                           []tick
	Paths                                           []path
	Legend                                          []legendItem
	// Shared tells that some marks stand for several events.
	Shared bool
	Lines  []line
}

// row is one instance.
type row struct {
	Instance, Datacentre string
	Top, Height, Middle  int
	// Even rows have a shaded background.
	Even  bool
	Marks []mark
	lanes []laneEnd
}

// laneEnd is the last mark of a lane: its right end with the gap, and its index.
type laneEnd struct {
	right, mark int
}

// mark is one event, or several that share a place.
type mark struct {
	X, Y, TextX, TextY int
	Code, Family, Text string
	count              int
}

type tick struct {
	X     int
	Label string
}

// path joins the events of one request.
type path struct {
	Request, Points string
	Hue             int
}

type legendItem struct {
	Code, Family string
	Kind         Kind
	Meaning      string
}

// line is one row of the table below the drawing.
type line struct {
	Time, Instance, Family, Subject, Detail string
	Kind                                    Kind
}

// describe returns the hover text of an event.
func describe(e Event) string {
	at := time.UnixMilli(e.Stamp.WallMs).UTC().Format(tableTime)
	return fmt.Sprintf("%s  %s\n%s (%s)\n%s\n%s", at, e.Kind, e.Instance, e.Datacentre, subject(e), detail(e))
}
