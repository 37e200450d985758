package timeline

import (
	"cmp"
	"fmt"
	"math"
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
	// maxLanes bounds a row's height; further marks overlap in the last lane.
	maxLanes = 6
	// maxPaths is how many requests get a line; more would not be told apart.
	maxPaths  = 8
	wantTicks = 10
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
	for _, e := range page.Events {
		rows[e.Instance].place(scale.x(e.Stamp.WallMs), e)
	}
	d.stack()
	d.addPaths(scale, rows)
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

// place puts the mark into the first lane in which it overlaps no other.
func (r *row) place(x int, e Event) {
	lane := 0
	for lane < len(r.lanes) && lane < maxLanes-1 && x < r.lanes[lane] {
		lane++
	}
	if lane == len(r.lanes) {
		r.lanes = append(r.lanes, 0)
	}
	r.lanes[lane] = x + markWidth + markGap
	item := legendOf(e.Kind)
	r.Marks = append(r.Marks, mark{
		X: x, Y: lane * (markHeight + markGap), Code: item.Code, Family: item.Family, Text: describe(e),
	})
}

// stack gives rows and marks their vertical positions.
func (d *drawing) stack() {
	top := axisHeight
	for _, r := range d.Rows {
		r.Top, r.Height = top, 2*rowPadding+len(r.lanes)*(markHeight+markGap)-markGap
		r.Middle = r.Top + r.Height/2
		for i := range r.Marks {
			m := &r.Marks[i]
			m.Y += top + rowPadding
			m.TextX, m.TextY = m.X+markWidth/2, m.Y+markHeight-4
		}
		top += r.Height
	}
	d.PlotBottom, d.Height = top, top+4
}

// addPaths joins the events of each request when there are few requests.
func (d *drawing) addPaths(scale scale, rows map[string]*row) {
	var order []string
	points := make(map[string][]string)
	for _, e := range d.Events {
		if e.Request == "" {
			continue
		}
		if points[e.Request] == nil {
			order = append(order, e.Request)
		}
		point := fmt.Sprintf("%d,%d", scale.x(e.Stamp.WallMs)+markWidth/2, rows[e.Instance].Middle)
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

// ticks returns about wantTicks marks at steps of 1, 2 or 5 times a power of ten.
func (s scale) ticks() []tick {
	step := math.Pow(10, math.Floor(math.Log10(float64(s.span)/wantTicks)))
	for _, factor := range []float64{2, 5, 10} {
		if float64(s.span)/step > wantTicks {
			step = math.Pow(10, math.Floor(math.Log10(float64(s.span)/wantTicks))) * factor
		}
	}
	width := max(1, int64(step))
	var ticks []tick
	for at := int64(0); at <= s.span; at += width {
		ticks = append(ticks, tick{X: s.x(s.first+at) + markWidth/2, Label: label(at)})
	}
	return ticks
}

func label(ms int64) string {
	if ms < 1000 {
		return fmt.Sprintf("+%d ms", ms)
	}
	return "+" + (time.Duration(ms) * time.Millisecond).String()
}

func clockOf(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05.000 UTC")
}
