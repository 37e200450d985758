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

// Page is the content of the page that WriteHTML writes.
type Page struct {
	Title string
	// Events must be in the order of Merge.
	Events []Event
	// Missing lists the instances that did not answer, so that their events are not shown.
	Missing []string
	// Dropped is the number of events that the instances' rings have overwritten.
	Dropped uint64
}

// WriteHTML writes a page that loads no other files. It draws one row per
// instance with the events as marks on a time axis, and has hover texts, a legend
// and a table of the events.
func WriteHTML(w io.Writer, page Page) error {
	return pageTemplate.Execute(w, newDrawing(page))
}

// drawing is the data of the template page.html: the page and the layout of its drawing, in pixels.
type drawing struct {
	Page
	Width, Height, PlotTop, PlotBottom, Left, Right int
	From, To                                        string
	Rows                                            []*row
	Ticks                                           []tick
	Paths                                           []requestPath
	Legend                                          []legendItem
	// Shared is true if any mark represents several events.
	Shared bool
	Lines  []tableRow
}

// row is the row of one instance in the drawing.
type row struct {
	Instance, Datacentre string
	Top, Height, Middle  int
	// Even rows have a shaded background.
	Even  bool
	Marks []mark
	lanes []laneEnd
}

// laneEnd describes the last mark of a lane: the position of its right edge plus the gap, and its index in row.Marks.
type laneEnd struct {
	right, markIndex int
}

// mark represents one event, or several events that overlap in the last lane.
type mark struct {
	X, Y, TextX, TextY int
	Code, Family, Text string
	count              int
}

type tick struct {
	X     int
	Label string
}

// requestPath is the line that joins the events of one request.
type requestPath struct {
	Request, Points string
	Hue             int
}

type legendItem struct {
	Code, Family string
	Kind         Kind
	Meaning      string
}

// tableRow is one row of the table below the drawing.
type tableRow struct {
	Time, Instance, Family, Subject, Detail string
	Kind                                    Kind
}

// hoverText returns the hover text of an event.
func hoverText(e Event) string {
	at := time.UnixMilli(e.Stamp.WallMs).UTC().Format(timeOfDayFormat)
	return fmt.Sprintf("%s  %s\n%s (%s)\n%s\n%s", at, e.Kind, e.Instance, e.Datacentre, subjectText(e), detailText(e))
}
