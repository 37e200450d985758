// Package bench measures the decision packages in the scenarios of the design
// page, section 7, over small fakes under a virtual clock. Results depend only
// on the seed.
package bench

import (
	"fmt"
	"io"
	"math/rand"
)

// Run measures the selected scenarios and writes one table for each to w.
func Run(w io.Writer, opts Options) error {
	if opts.Seed == 0 {
		opts.Seed = 1
	}
	for _, s := range scenarios() {
		if !selected(opts.Scenarios, s.name) {
			continue
		}
		if err := runScenario(w, s, opts); err != nil {
			return err
		}
	}
	return nil
}

func runScenario(w io.Writer, s scenario, opts Options) error {
	arrivals := s.workload.generate(rand.New(rand.NewSource(opts.Seed)), s.length)
	var results []*result
	for _, v := range variants() {
		if selected(opts.Variants, v.name) {
			results = append(results, newWorld(s, v, opts.Seed).run(arrivals))
		}
	}
	if err := writeText(w, s, opts.Seed, results); err != nil {
		return fmt.Errorf("write table of %s: %w", s.name, err)
	}
	if opts.Directory == "" {
		return nil
	}
	return writeFiles(opts.Directory, s, results)
}
