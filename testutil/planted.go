package testutil

import "testing"

// RunPlantedFaults runs each planted fault, a deliberate defect, with the seeds from 0 to seeds-1 and fails the test
// when no seed detects it. run plants the defect and returns the violations that its checks found. RunPlantedFaults
// guards against checks that would not detect a real fault.
func RunPlantedFaults[P any](t *testing.T, seeds int64, defects map[string]P, run func(seed int64, defect P) []string) {
	for name, defect := range defects {
		detected := 0
		for seed := range seeds {
			if len(run(seed, defect)) > 0 {
				detected++
			}
		}
		t.Logf("%s: detected by %d of %d seeds", name, detected, seeds)
		if detected == 0 {
			t.Errorf("%s: not detected by any seed", name)
		}
	}
}

// AddCounts adds counts to the totals in sum, key by key.
func AddCounts[K comparable](sum, counts map[K]int) {
	for key, n := range counts {
		sum[key] += n
	}
}
