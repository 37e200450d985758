// Package bench compares routing, admission, quota, retry and capacity policies in
// simulated scenarios. It runs the packages of the same names against fake
// endpoints and entry instances with a virtual clock, in one goroutine. Results
// depend only on the seed. The bench command of internal/devtool calls Run.
package bench

import (
	"fmt"
	"io"
	"math/rand"
	"path/filepath"
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
	for _, s := range standaloneScenarios() {
		if !selected(opts.Scenarios, s.name) {
			continue
		}
		if err := s.measure(opts.Seed).write(w, opts.Directory); err != nil {
			return fmt.Errorf("scenario %s: %w", s.name, err)
		}
	}
	return nil
}

// standaloneScenario is a scenario that uses no fake endpoints.
type standaloneScenario struct {
	name    string
	measure func(seed int64) *report
}

func standaloneScenarios() []standaloneScenario {
	return []standaloneScenario{
		{name: "weight_store_refusing", measure: measureGate},
		{name: "retry_outage", measure: measureOutage},
		{name: "capacity_cost", measure: measureCost},
	}
}

func runScenario(w io.Writer, s scenario, opts Options) error {
	arrivals := s.workload.generate(rand.New(rand.NewSource(opts.Seed)), s.length)
	var results []*result
	for _, v := range variants() {
		if selected(opts.Variants, v.name) {
			results = append(results, newSimulation(s, v, opts.Seed).run(arrivals))
		}
	}
	if err := policyReport(s, opts.Seed, results).write(w, opts.Directory); err != nil {
		return fmt.Errorf("scenario %s: %w", s.name, err)
	}
	if opts.Directory == "" {
		return nil
	}
	return writeHistograms(filepath.Join(opts.Directory, s.name+".hdr.txt"), results)
}
