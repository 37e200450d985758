package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Layout. Widths, heights, margins, gaps and paddings are in pixels.
const (
	pageWidth   = 1400
	labelWidth  = 190
	rightMargin = 40
	axisHeight  = 28
	// markWidth and markHeight are repeated as numbers in page.html.
	markWidth  = 22
	markHeight = 16
	markGap    = 2
	rowPadding = 7
	// maxLanes bounds the height of a row; further overlapping events share a mark in the last lane.
	maxLanes = 6
	// maxHoverLines bounds the hover text of a shared mark; an event is added only below this number of line breaks.
	maxHoverLines = 25
	// maxPaths is the number of requests up to which a line joins the events of each; more lines would be hard to
	// distinguish.
	maxPaths = 8
	// maxTicks is the maximum number of whole intervals between the ticks of the axis.
	maxTicks = 12
)

func newDrawing(page Page) *drawing {
	d := &drawing{
		Page: page, Width: pageWidth, Left: labelWidth, Right: pageWidth - rightMargin, PlotTop: axisHeight,
	}
	if len(page.Events) == 0 {
		d.PlotBottom, d.Height = axisHeight, axisHeight
		return d
	}
	first, last := page.Events[0].Stamp.WallMs, page.Events[len(page.Events)-1].Stamp.WallMs
	d.From, d.To = formatTimestamp(first), formatTimestamp(last)
	scale := newScale(first, last, d.Left, d.Right)
	rows := d.addRows()
	markRefs := make([]markRef, 0, len(page.Events))
	for _, e := range page.Events {
		markRefs = append(markRefs, rows[e.Instance].placeMark(scale.x(e.Stamp.WallMs), e))
	}
	d.setVerticalPositions()
	d.addPaths(markRefs)
	d.Ticks = scale.ticks()
	d.addLegend()
	for _, e := range page.Events {
		d.Lines = append(d.Lines, tableRow{
			Time: formatStamp(e), Instance: e.Instance, Kind: e.Kind, Family: legendItemFor(e.Kind).Family,
			Subject: subjectText(e), Detail: detailText(e),
		})
	}
	return d
}

// addRows adds one row per instance, sorted by data centre and instance, and returns the rows by instance.
func (d *drawing) addRows() map[string]*row {
	rows := make(map[string]*row)
	for _, e := range d.Events {
		if rows[e.Instance] == nil {
			rows[e.Instance] = &row{Instance: e.Instance, Datacentre: e.Datacentre}
			d.Rows = append(d.Rows, rows[e.Instance])
		}
	}
	slices.SortFunc(d.Rows, func(a, b *row) int {
		return cmp.Or(cmp.Compare(a.Datacentre, b.Datacentre), cmp.Compare(a.Instance, b.Instance))
	})
	return rows
}

// markRef refers to the mark of an event by its row and its index in row.Marks.
type markRef struct {
	row       *row
	markIndex int
}

// placeMark adds a mark for the event to the first lane in which it overlaps no
// other. If it overlaps in all maxLanes lanes, the event is added to the last
// mark of the last lane.
func (r *row) placeMark(x int, e Event) markRef {
	lane := 0
	for lane < len(r.lanes) && x < r.lanes[lane].right {
		lane++
	}
	if lane == maxLanes {
		last := r.lanes[lane-1].markIndex
		r.Marks[last].addEvent(e)
		return markRef{r, last}
	}
	if lane == len(r.lanes) {
		r.lanes = append(r.lanes, laneEnd{})
	}
	r.lanes[lane] = laneEnd{right: x + markWidth + markGap, markIndex: len(r.Marks)}
	item := legendItemFor(e.Kind)
	r.Marks = append(r.Marks, mark{
		X: x, Y: lane * (markHeight + markGap), Code: item.Code, Family: item.Family, Text: hoverText(e), count: 1,
	})
	return markRef{r, len(r.Marks) - 1}
}

// addEvent adds an event to a mark, which then shows the number of its events, at most +99.
func (m *mark) addEvent(e Event) {
	m.count++
	m.Code, m.Family = fmt.Sprintf("+%d", m.count), familyShared
	if m.count > 99 {
		m.Code = "+99"
	}
	if strings.Count(m.Text, "\n") < maxHoverLines {
		m.Text += "\n\n" + hoverText(e)
	}
}

// setVerticalPositions sets the vertical positions of the rows and their marks, and whether any mark is shared.
func (d *drawing) setVerticalPositions() {
	top := axisHeight
	for i, r := range d.Rows {
		r.Even = i%2 == 0
		r.Top, r.Height = top, 2*rowPadding+len(r.lanes)*(markHeight+markGap)-markGap
		r.Middle = r.Top + r.Height/2
		for i := range r.Marks {
			m := &r.Marks[i]
			d.Shared = d.Shared || m.count > 1
			m.Y += top + rowPadding
			m.TextX, m.TextY = m.X+markWidth/2, m.Y+markHeight-4
		}
		top += r.Height
	}
	d.PlotBottom, d.Height = top, top+4
}

// addPaths adds a path through the marks of each request, unless there are more than maxPaths requests. markRefs has the
// mark of each event, in the order of d.Events.
func (d *drawing) addPaths(markRefs []markRef) {
	var requests []string
	points := make(map[string][]string)
	for i, e := range d.Events {
		if e.Request == "" {
			continue
		}
		if points[e.Request] == nil {
			requests = append(requests, e.Request)
		}
		m := markRefs[i].row.Marks[markRefs[i].markIndex]
		point := fmt.Sprintf("%d,%d", m.X+markWidth/2, m.Y+markHeight/2)
		points[e.Request] = append(points[e.Request], point)
	}
	if len(requests) > maxPaths {
		return
	}
	for i, request := range requests {
		d.Paths = append(d.Paths, requestPath{Request: request, Points: strings.Join(points[request], " "), Hue: i * 360 / maxPaths})
	}
}

// addLegend adds the legend items of the kinds that occur in the events.
func (d *drawing) addLegend() {
	unlisted := make(map[Kind]bool)
	for _, e := range d.Events {
		unlisted[e.Kind] = true
	}
	for _, item := range legend {
		if unlisted[item.Kind] {
			d.Legend = append(d.Legend, item)
		}
		delete(unlisted, item.Kind)
	}
	for kind := range unlisted {
		d.Legend = append(d.Legend, legendItemFor(kind))
	}
}

// scale maps times in milliseconds since the Unix epoch to horizontal positions in pixels.
type scale struct {
	first, span int64
	left, width int
}

func newScale(first, last int64, left, right int) scale {
	return scale{first: first, span: max(1, last-first), left: left, width: right - left - markWidth}
}

func (s scale) x(ms int64) int {
	return s.left + int(float64(ms-s.first)/float64(s.span)*float64(s.width))
}

// tickSteps lists the permitted intervals between ticks, in ascending order.
var tickSteps = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute,
	time.Hour, 2 * time.Hour, 6 * time.Hour, 12 * time.Hour,
}

// tickInterval returns, in milliseconds, the shortest of tickSteps that divides the span into at most maxTicks intervals.
// Spans too long for these get a multiple of whole days.
func (s scale) tickInterval() int64 {
	for _, step := range tickSteps {
		if s.span/step.Milliseconds() <= maxTicks {
			return step.Milliseconds()
		}
	}
	day := (24 * time.Hour).Milliseconds()
	return day * (s.span/(day*maxTicks) + 1)
}

func (s scale) ticks() []tick {
	interval := s.tickInterval()
	var ticks []tick
	for offset := int64(0); offset <= s.span; offset += interval {
		ticks = append(ticks, tick{X: s.x(s.first+offset) + markWidth/2, Label: tickLabel(offset, interval)})
	}
	return ticks
}

// tickLabel formats the time since the first event. The unit depends only on the interval, so that all ticks have the
// same one.
func tickLabel(ms, interval int64) string {
	switch {
	case interval < 100:
		return fmt.Sprintf("+%d ms", ms)
	case interval < time.Minute.Milliseconds():
		return fmt.Sprintf("+%g s", float64(ms)/1000)
	case interval < time.Hour.Milliseconds():
		return fmt.Sprintf("+%d min", ms/time.Minute.Milliseconds())
	default:
		return fmt.Sprintf("+%d h", ms/time.Hour.Milliseconds())
	}
}

func formatTimestamp(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05.000 UTC")
}
