package bench

import (
	"bytes"
	"fmt"
	"os"
)

// column is one column of a table.
type column struct {
	name  string
	value func(r *result) float64
}

// columns returns the columns of the policy tables. Times are in ms.
func columns() []column {
	return []column{
		{"short_p50_ms", func(r *result) float64 { return percentileMs(r.firstTokenTimes[kindShort], 50) }},
		{"short_p99_ms", func(r *result) float64 { return percentileMs(r.firstTokenTimes[kindShort], 99) }},
		{"short_p999_ms", func(r *result) float64 { return percentileMs(r.firstTokenTimes[kindShort], 99.9) }},
		{"summary_p95_ms", func(r *result) float64 { return percentileMs(r.firstTokenTimes[kindSummary], 95) }},
		{"long_p95_ms", func(r *result) float64 { return percentileMs(r.firstTokenTimes[kindLong], 95) }},
		{"long_max_ms", func(r *result) float64 { return float64(r.maxLongFirstToken.Milliseconds()) }},
		{"gap_p95_ms", func(r *result) float64 { return percentileMs(r.tokenGaps, 95) }},
		{"plain_p99_ms", func(r *result) float64 { return percentileMs(r.firstTokenTimes[kindPlain], 99) }},
		{"goodput_tok_s", func(r *result) float64 { return float64(r.goodTokens) / r.length.Seconds() }},
		{"in_time_pct", func(r *result) float64 { return percent(r.inTime, r.offered) }},
		{"shed_pct", func(r *result) float64 { return percent(r.shedCalls, r.offered) }},
		{"retry_ok_pct", func(r *result) float64 { return percent(r.retriesAdmitted, r.retriesRequested) }},
		{"extra_pct", func(r *result) float64 { return percent(r.attempts-r.accepted-r.resumed, r.accepted) }},
		{"recomputed_ktok", func(r *result) float64 { return float64(r.recomputed) / 1000 }},
		{"rerun_ktok", func(r *result) float64 { return float64(r.recomputedOnResume) / 1000 }},
		{"team_err_pct", (*result).teamError},
		{"violations", func(r *result) float64 { return float64(r.violations) }},
		{"lost", func(r *result) float64 { return float64(r.failed + r.unfinished) }},
	}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// policyReport returns the table of one scenario, with a row for each variant.
func policyReport(s scenario, seed int64, results []*result) *report {
	r := &report{name: s.name, about: fmt.Sprintf("%s (seed %d, %s virtual)", s.about, seed, s.length)}
	for _, c := range columns() {
		r.columns = append(r.columns, c.name)
	}
	for _, measured := range results {
		row := reportRow{variant: measured.variant}
		for _, c := range columns() {
			row.values = append(row.values, c.value(measured))
		}
		r.rows = append(r.rows, row)
	}
	return r
}

// writeHistograms writes the percentile distributions of the first-token times of short and long calls, in ms.
func writeHistograms(path string, results []*result) error {
	var b bytes.Buffer
	for _, r := range results {
		for _, k := range []kind{kindShort, kindLong} {
			fmt.Fprintf(&b, "# %s %s first token, ms\n", r.variant, k)
			if _, err := r.firstTokenTimes[k].PercentilesPrint(&b, 1, 1000); err != nil {
				return fmt.Errorf("print histogram of first-token times: %w", err)
			}
		}
	}
	if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write histograms: %w", err)
	}
	return nil
}
