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

// report is one table: a name, a description, the column names and a row for each variant.
type report struct {
	name    string
	about   string
	columns []string
	rows    []reportRow
}

type reportRow struct {
	variant string
	values  []float64
}

func (r *report) add(variant string, values ...float64) {
	r.rows = append(r.rows, reportRow{variant: variant, values: values})
}

// write writes the table as aligned text to w, and as a CSV file if a directory is given.
func (r *report) write(w io.Writer, directory string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "\n%s: %s\n", r.name, r.about)
	b.WriteString("variant\t")
	for _, c := range r.columns {
		b.WriteString(c + "\t")
	}
	b.WriteString("\n")
	for _, row := range r.rows {
		b.WriteString(row.variant + "\t")
		for _, v := range row.values {
			fmt.Fprintf(&b, "%.6g\t", round(v))
		}
		b.WriteString("\n")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := t.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if directory == "" {
		return nil
	}
	return r.writeCSV(filepath.Join(directory, r.name+".csv"))
}

func (r *report) writeCSV(path string) error {
	var b bytes.Buffer
	out := csv.NewWriter(&b)
	_ = out.Write(append([]string{"variant"}, r.columns...))
	for _, row := range r.rows {
		fields := []string{row.variant}
		for _, v := range row.values {
			fields = append(fields, fmt.Sprintf("%.2f", v))
		}
		_ = out.Write(fields)
	}
	out.Flush()
	if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write CSV table: %w", err)
	}
	return nil
}

// round rounds to two decimals, which exceeds the resolution of the runs.
func round(v float64) float64 { return float64(int64(v*100+0.5)) / 100 }
