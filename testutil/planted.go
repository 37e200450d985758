package testutil

import "testing"

// Planted runs each planted fault with the seeds from 0 and fails the test when no seed finds it. run returns what
// its checks found.
func Planted[P any](t *testing.T, seeds int64, plants map[string]P, run func(seed int64, plant P) []string) {
	for name, plant := range plants {
		caught := 0
		for seed := range seeds {
			if len(run(seed, plant)) > 0 {
				caught++
			}
		}
		t.Logf("%s: caught by %d of %d seeds", name, caught, seeds)
		if caught == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

// Add adds the counts of one run to a sum.
func Add[K comparable](sum, counts map[K]int) {
	for key, n := range counts {
		sum[key] += n
	}
}
