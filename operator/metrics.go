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

// WriteMetrics writes a registry in the Prometheus text exposition format. Metric names include their
// units; timers, which are recorded in nanoseconds, are written in seconds. A metric
// name may end with labels in braces. Write errors are ignored.
func WriteMetrics(w io.Writer, registry metrics.Registry) {
	all := make(map[string]any)
	var names []string
	registry.Each(func(name string, metric any) {
		all[name] = metric
		names = append(names, name)
	})
	slices.Sort(names)
	typesWritten := make(map[string]bool)
	for _, name := range names {
		e := metricWriter{w: w, typesWritten: typesWritten}
		e.name, e.labels = splitLabels(name)
		e.write(all[name])
	}
}

// metricWriter writes one metric.
type metricWriter struct {
	w            io.Writer
	name, labels string
	// typesWritten holds the names whose TYPE line has been written.
	typesWritten map[string]bool
}

// splitLabels splits a registry name into the exposed name and its labels without braces.
func splitLabels(name string) (base, labels string) {
	base, labels, _ = strings.Cut(strings.TrimSuffix(name, "}"), "{")
	return metricPrefix + strings.Map(toNameRune, base), labels
}

// toNameRune maps r to a character allowed in exposed names: lower-case letters, digits and '_'.
func toNameRune(r rune) rune {
	if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' {
		return r
	}
	if r >= 'A' && r <= 'Z' {
		return r - 'A' + 'a'
	}
	return '_'
}

func (e metricWriter) write(metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		e.writeValue("counter", float64(m.Count()))
	case metrics.Gauge:
		e.writeValue("gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		e.writeValue("gauge", m.Value())
	case metrics.Meter:
		e.writeValue("counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		e.writeSummary(s.Percentiles(quantiles), s.Count(), float64(s.Sum()), 1)
	case metrics.Timer:
		s := m.Snapshot()
		e.name = strings.TrimSuffix(e.name, "_seconds") + "_seconds"
		e.writeSummary(s.Percentiles(quantiles), s.Count(), float64(s.Sum()), float64(time.Second))
	}
}

var quantiles = []float64{0.5, 0.95, 0.99}

// writeSummary writes quantiles, sum and count; the quantiles and the sum are divided by unit.
func (e metricWriter) writeSummary(values []float64, count int64, sum, unit float64) {
	e.writeType("summary")
	for i, quantile := range quantiles {
		e.writeSample("", fmt.Sprintf("quantile=%q", fmt.Sprint(quantile)), values[i]/unit)
	}
	e.writeSample("_sum", "", sum/unit)
	e.writeSample("_count", "", float64(count))
}

func (e metricWriter) writeValue(metricType string, value float64) {
	e.writeType(metricType)
	e.writeSample("", "", value)
}

// writeType writes the TYPE line of the name, once for all its labels.
func (e metricWriter) writeType(metricType string) {
	if !e.typesWritten[e.name] {
		e.typesWritten[e.name] = true
		_, _ = fmt.Fprintf(e.w, "# TYPE %s %s\n", e.name, metricType)
	}
}

// writeSample writes one sample line; label is added to the labels of the metric.
func (e metricWriter) writeSample(suffix, label string, value float64) {
	labels := strings.Trim(e.labels+","+label, ",")
	if labels != "" {
		labels = "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(e.w, "%s%s%s %g\n", e.name, suffix, labels, value)
}
