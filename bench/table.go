package bench

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
)

// column is one figure of a table.
type column struct {
	name  string
	value func(r *result) float64
}

// columns are the figures of the policy tables; times are in ms.
func columns() []column {
	return []column{
		{"short_p50_ms", func(r *result) float64 { return quantile(r.first[kindShort], 50) }},
		{"short_p99_ms", func(r *result) float64 { return quantile(r.first[kindShort], 99) }},
		{"summary_p95_ms", func(r *result) float64 { return quantile(r.first[kindSummary], 95) }},
		{"long_p95_ms", func(r *result) float64 { return quantile(r.first[kindLong], 95) }},
		{"long_max_ms", func(r *result) float64 { return float64(r.worstLong.Milliseconds()) }},
		{"gap_p95_ms", func(r *result) float64 { return quantile(r.gap, 95) }},
		{"plain_p99_ms", func(r *result) float64 { return quantile(r.first[kindPlain], 99) }},
		{"goodput_tok_s", func(r *result) float64 { return float64(r.goodTokens) / r.length.Seconds() }},
		{"in_time_pct", func(r *result) float64 { return percent(r.good, r.offered) }},
		{"shed_pct", func(r *result) float64 { return percent(r.shedding, r.offered) }},
		{"retry_ok_pct", func(r *result) float64 { return percent(r.retriesAdmitted, r.retriesAsked) }},
		{"extra_pct", func(r *result) float64 { return percent(r.attempts-r.accepted-r.resumed, r.accepted) }},
		{"recomputed_ktok", func(r *result) float64 { return float64(r.recomputed) / 1000 }},
		{"team_err_pct", (*result).teamError},
		{"lost", func(r *result) float64 { return float64(r.failed + r.unfinished) }},
	}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// writeText writes the table for people.
func writeText(w io.Writer, s scenario, seed int64, results []*result) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "\n%s: %s (seed %d, %s virtual)\n", s.name, s.about, seed, s.length)
	b.WriteString("variant\t")
	for _, c := range columns() {
		b.WriteString(c.name + "\t")
	}
	b.WriteString("\n")
	for _, r := range results {
		b.WriteString(r.variant + "\t")
		for _, c := range columns() {
			fmt.Fprintf(&b, "%.6g\t", round(c.value(r)))
		}
		b.WriteString("\n")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := t.Write(b.Bytes()); err != nil {
		return err
	}
	return t.Flush()
}

// round keeps two decimals, which is more than the runs resolve.
func round(v float64) float64 { return float64(int64(v*100+0.5)) / 100 }

// writeFiles writes the table as CSV and the histograms of the first-token times.
func writeFiles(directory string, s scenario, results []*result) error {
	f, err := os.Create(filepath.Join(directory, s.name+".csv"))
	if err != nil {
		return fmt.Errorf("create table: %w", err)
	}
	if err := writeCSV(f, results); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close table: %w", err)
	}
	return writeHistograms(filepath.Join(directory, s.name+".hdr.txt"), results)
}

func writeCSV(w io.Writer, results []*result) error {
	out := csv.NewWriter(w)
	header := []string{"variant"}
	for _, c := range columns() {
		header = append(header, c.name)
	}
	_ = out.Write(header)
	for _, r := range results {
		row := []string{r.variant}
		for _, c := range columns() {
			row = append(row, fmt.Sprintf("%.2f", c.value(r)))
		}
		_ = out.Write(row)
	}
	out.Flush()
	return out.Error()
}

// writeHistograms writes the percentile distributions of the short and long first-token times in ms.
func writeHistograms(path string, results []*result) error {
	var b bytes.Buffer
	for _, r := range results {
		for _, k := range []kind{kindShort, kindLong} {
			fmt.Fprintf(&b, "# %s %s first token, ms\n", r.variant, k)
			if _, err := r.first[k].PercentilesPrint(&b, 1, 1000); err != nil {
				return fmt.Errorf("print histogram: %w", err)
			}
		}
	}
	if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write histograms: %w", err)
	}
	return nil
}
