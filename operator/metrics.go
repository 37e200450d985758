package operator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const metricPrefix = "knapweedhoist_"

// WriteMetrics writes a registry in the text exposition format. Names carry
// their units; timers, which are kept in nanoseconds, are shown in seconds. A
// name may end with labels in braces.
func WriteMetrics(w io.Writer, registry metrics.Registry) {
	all := make(map[string]any)
	var names []string
	registry.Each(func(name string, metric any) {
		all[name] = metric
		names = append(names, name)
	})
	slices.Sort(names)
	typed := make(map[string]bool)
	for _, name := range names {
		e := exposition{w: w, typed: typed}
		e.name, e.labels = splitLabels(name)
		e.write(all[name])
	}
}

// exposition writes one metric.
type exposition struct {
	w            io.Writer
	name, labels string
	// typed are the names whose TYPE line has been written.
	typed map[string]bool
}

func splitLabels(name string) (base, labels string) {
	base, labels, _ = strings.Cut(strings.TrimSuffix(name, "}"), "{")
	return metricPrefix + strings.Map(nameRune, base), labels
}

func nameRune(r rune) rune {
	if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' {
		return r
	}
	if r >= 'A' && r <= 'Z' {
		return r - 'A' + 'a'
	}
	return '_'
}

func (e exposition) write(metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		e.sample("counter", float64(m.Count()))
	case metrics.Gauge:
		e.sample("gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		e.sample("gauge", m.Value())
	case metrics.Meter:
		e.sample("counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		e.summary(s.Percentiles(quantiles), s.Count(), float64(s.Sum()), 1)
	case metrics.Timer:
		s := m.Snapshot()
		e.name = strings.TrimSuffix(e.name, "_seconds") + "_seconds"
		e.summary(s.Percentiles(quantiles), s.Count(), float64(s.Sum()), float64(time.Second))
	}
}

var quantiles = []float64{0.5, 0.95, 0.99}

// summary writes quantiles, sum and count; values are divided by unit.
func (e exposition) summary(values []float64, count int64, sum, unit float64) {
	e.typeLine("summary")
	for i, quantile := range quantiles {
		e.line("", fmt.Sprintf("quantile=%q", fmt.Sprint(quantile)), values[i]/unit)
	}
	e.line("_sum", "", sum/unit)
	e.line("_count", "", float64(count))
}

func (e exposition) sample(kind string, value float64) {
	e.typeLine(kind)
	e.line("", "", value)
}

func (e exposition) typeLine(kind string) {
	if !e.typed[e.name] {
		e.typed[e.name] = true
		_, _ = fmt.Fprintf(e.w, "# TYPE %s %s\n", e.name, kind)
	}
}

func (e exposition) line(suffix, label string, value float64) {
	labels := strings.Trim(e.labels+","+label, ",")
	if labels != "" {
		labels = "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(e.w, "%s%s%s %g\n", e.name, suffix, labels, value)
}
