package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Layout in pixels.
const (
	pageWidth   = 1400
	labelWidth  = 190
	rightMargin = 40
	axisHeight  = 28
	markWidth   = 22
	markHeight  = 16
	markGap     = 2
	rowPadding  = 7
	// maxLanes bounds a row's height; further events at the same place share a mark in the last lane.
	maxLanes = 6
	// maxHoverLines bounds the hover text of a shared mark.
	maxHoverLines = 25
	// maxPaths is how many requests get a line; more would not be told apart.
	maxPaths = 8
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
	d.From, d.To = clockOf(first), clockOf(last)
	scale := newScale(first, last, d.Left, d.Right)
	rows := d.addRows()
	spots := make([]spot, 0, len(page.Events))
	for _, e := range page.Events {
		spots = append(spots, rows[e.Instance].place(scale.x(e.Stamp.WallMs), e))
	}
	d.stack()
	d.addPaths(spots)
	d.Ticks = scale.ticks()
	d.addLegend()
	for _, e := range page.Events {
		d.Lines = append(d.Lines, line{
			Time: timeOf(e), Instance: e.Instance, Kind: e.Kind, Family: legendOf(e.Kind).Family,
			Subject: subject(e), Detail: detail(e),
		})
	}
	return d
}

// addRows makes one row per instance, ordered by data centre.
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

// spot is the mark of an event: an index of the row's marks.
type spot struct {
	row  *row
	mark int
}

// place puts the event into the first lane in which its mark overlaps no other.
// When all lanes are taken it joins the last mark of the last lane.
func (r *row) place(x int, e Event) spot {
	lane := 0
	for lane < len(r.lanes) && x < r.lanes[lane].right {
		lane++
	}
	if lane == maxLanes {
		last := r.lanes[lane-1].mark
		r.Marks[last].join(e)
		return spot{r, last}
	}
	if lane == len(r.lanes) {
		r.lanes = append(r.lanes, laneEnd{})
	}
	r.lanes[lane] = laneEnd{right: x + markWidth + markGap, mark: len(r.Marks)}
	item := legendOf(e.Kind)
	r.Marks = append(r.Marks, mark{
		X: x, Y: lane * (markHeight + markGap), Code: item.Code, Family: item.Family, Text: describe(e), count: 1,
	})
	return spot{r, len(r.Marks) - 1}
}

// join adds an event to a mark, which then shows how many events it stands for.
func (m *mark) join(e Event) {
	m.count++
	m.Code, m.Family = fmt.Sprintf("+%d", m.count), familyShared
	if m.count > 99 {
		m.Code = "+99"
	}
	if strings.Count(m.Text, "\n") < maxHoverLines {
		m.Text += "\n\n" + describe(e)
	}
}

// stack gives rows and marks their vertical positions.
func (d *drawing) stack() {
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

// addPaths joins the marks of each request when there are few requests; spots are in the order of the events.
func (d *drawing) addPaths(spots []spot) {
	var order []string
	points := make(map[string][]string)
	for i, e := range d.Events {
		if e.Request == "" {
			continue
		}
		if points[e.Request] == nil {
			order = append(order, e.Request)
		}
		m := spots[i].row.Marks[spots[i].mark]
		point := fmt.Sprintf("%d,%d", m.X+markWidth/2, m.Y+markHeight/2)
		points[e.Request] = append(points[e.Request], point)
	}
	if len(order) > maxPaths {
		return
	}
	for i, request := range order {
		d.Paths = append(d.Paths, path{Request: request, Points: strings.Join(points[request], " "), Hue: i * 360 / maxPaths})
	}
}

// addLegend lists the kinds that occur.
func (d *drawing) addLegend() {
	seen := make(map[Kind]bool)
	for _, e := range d.Events {
		seen[e.Kind] = true
	}
	for _, item := range legend {
		if seen[item.Kind] {
			d.Legend = append(d.Legend, item)
		}
		delete(seen, item.Kind)
	}
	for kind := range seen {
		d.Legend = append(d.Legend, legendOf(kind))
	}
}

// scale maps milliseconds to pixels.
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

// tickSteps are the steps between ticks.
var tickSteps = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute,
	time.Hour, 2 * time.Hour, 6 * time.Hour, 12 * time.Hour,
}

// step returns the first of tickSteps that gives at most maxTicks, in milliseconds; longer spans get whole days.
func (s scale) step() int64 {
	for _, step := range tickSteps {
		if s.span/step.Milliseconds() <= maxTicks {
			return step.Milliseconds()
		}
	}
	day := (24 * time.Hour).Milliseconds()
	return day * (s.span/(day*maxTicks) + 1)
}

func (s scale) ticks() []tick {
	width := s.step()
	var ticks []tick
	for at := int64(0); at <= s.span; at += width {
		ticks = append(ticks, tick{X: s.x(s.first+at) + markWidth/2, Label: label(at, width)})
	}
	return ticks
}

// label writes the time since the first event, in one unit for all ticks of a step.
func label(ms, step int64) string {
	switch {
	case step < 100:
		return fmt.Sprintf("+%d ms", ms)
	case step < time.Minute.Milliseconds():
		return fmt.Sprintf("+%g s", float64(ms)/1000)
	case step < time.Hour.Milliseconds():
		return fmt.Sprintf("+%d min", ms/time.Minute.Milliseconds())
	default:
		return fmt.Sprintf("+%d h", ms/time.Hour.Milliseconds())
	}
}

func clockOf(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05.000 UTC")
}
