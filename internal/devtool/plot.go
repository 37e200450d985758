package devtool

import (
	"encoding/csv"
	"errors"
	"fmt"
	"html/template"
	"io"
	"os"
	"strconv"
)

// plotCommand draws columns of a measurement table as an SVG file.
type plotCommand struct {
	Table   string   `long:"table" description:"CSV file" required:"true" value-name:"FILE"`
	X       string   `long:"x" description:"Column of the horizontal axis" default:"entries" value-name:"COLUMN"`
	Columns []string `long:"column" description:"Column to draw in a separate panel; may be given several times" required:"true" value-name:"COLUMN"`
	Out     string   `long:"out" description:"SVG file" required:"true" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	table, err := readTable(c.Table)
	if err != nil {
		return err
	}
	xs, found := table[c.X]
	if !found {
		return fmt.Errorf("%s has no column %s", c.Table, c.X)
	}
	drawing := plotDrawing{Width: plotMargin}
	for _, column := range c.Columns {
		ys, found := table[column]
		if !found {
			return fmt.Errorf("%s has no column %s", c.Table, column)
		}
		drawing.Panels = append(drawing.Panels, newPanel(column, c.X, xs, ys, drawing.Width))
		drawing.Width += panelWidth + plotMargin
	}
	drawing.Height = panelHeight + 2*plotMargin
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(plotTemplate.Execute(file, drawing), file.Close())
}

// readTable reads a CSV file of numbers into columns keyed by their names.
func readTable(path string) (map[string][]float64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	reader := csv.NewReader(file)
	header, err := reader.Read()
	if err != nil {
		return nil, err
	}
	table := make(map[string][]float64)
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return table, nil
		}
		if err != nil {
			return nil, err
		}
		for i, name := range header {
			value, err := strconv.ParseFloat(row[i], 64)
			if err != nil {
				return nil, fmt.Errorf("%s: column %s: %w", path, name, err)
			}
			table[name] = append(table[name], value)
		}
	}
}

// Sizes of a plot. Lengths are in SVG units.
const (
	panelWidth  = 260.0
	panelHeight = 180.0
	plotMargin  = 60.0
	// tickIntervals is the number of intervals between the ticks of an axis.
	tickIntervals = 4
)

type plotDrawing struct {
	Width, Height float64
	Panels        []panel
}

// panel plots one column against the column of the horizontal axis. Both axes start at 0.
type panel struct {
	Title, XTitle            string
	Left, Top, Right, Bottom float64
	Line                     string
	Points                   []point
	XTicks, YTicks           []tick
}

type point struct{ X, Y float64 }

type tick struct {
	At    float64
	Label string
}

func newPanel(title, xTitle string, xs, ys []float64, left float64) panel {
	p := panel{
		Title: title, XTitle: xTitle, Left: left, Top: plotMargin, Right: left + panelWidth, Bottom: plotMargin + panelHeight,
	}
	maxX, maxY := maxOrOne(xs), maxOrOne(ys)
	for i := range xs {
		position := point{X: left + panelWidth*xs[i]/maxX, Y: p.Bottom - panelHeight*ys[i]/maxY}
		p.Points = append(p.Points, position)
		p.Line += fmt.Sprintf("%.1f,%.1f ", position.X, position.Y)
	}
	for i := range tickIntervals + 1 {
		fraction := float64(i) / tickIntervals
		p.XTicks = append(p.XTicks, tick{At: left + panelWidth*fraction, Label: label(maxX * fraction)})
		p.YTicks = append(p.YTicks, tick{At: p.Bottom - panelHeight*fraction, Label: label(maxY * fraction)})
	}
	return p
}

func label(value float64) string {
	return strconv.FormatFloat(value, 'g', 6, 64)
}

// maxOrOne returns the largest value, or 1 if no value is positive.
func maxOrOne(values []float64) float64 {
	maximum := 0.0
	for _, v := range values {
		maximum = max(maximum, v)
	}
	if maximum == 0 {
		return 1
	}
	return maximum
}

var plotTemplate = template.Must(template.New("plot").Parse(
	`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {{.Width}} {{.Height}}" font-family="sans-serif" font-size="11">
<rect width="{{.Width}}" height="{{.Height}}" fill="#ffffff"/>
{{range $p := .Panels}}<text x="{{$p.Left}}" y="40" font-size="13" fill="#222222">{{$p.Title}}</text>
{{range .YTicks}}<line x1="{{$p.Left}}" x2="{{$p.Right}}" y1="{{.At}}" y2="{{.At}}" stroke="#dddddd"/><text x="{{$p.Left}}" y="{{.At}}" dx="-6" dy="4" text-anchor="end" fill="#444444">{{.Label}}</text>
{{end}}{{range .XTicks}}<text x="{{.At}}" y="{{$p.Bottom}}" dy="16" text-anchor="middle" fill="#444444">{{.Label}}</text>
{{end}}<text x="{{$p.Right}}" y="{{$p.Bottom}}" dy="32" text-anchor="end" fill="#444444">{{$p.XTitle}}</text>
<polyline points="{{$p.Line}}" fill="none" stroke="#1f5fa8" stroke-width="2"/>
{{range .Points}}<circle cx="{{.X}}" cy="{{.Y}}" r="3" fill="#1f5fa8"/>
{{end}}{{end}}</svg>
`))
