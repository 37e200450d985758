package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Number of seeds and of steps per seed that go test runs; SOAK_SEEDS and SOAK_STEPS override them.
// SOAK_SEED runs that seed alone; SOAK_BRIEF=1 leaves out the failures that last for minutes.
const (
	defaultSeeds = 24
	defaultSteps = 240
)

// Guards against a breach of the guarantees in the package comment in a long run in which failures of all kinds start at
// random times, overlap and repeat.
func TestGuaranteesHold(t *testing.T) {
	first, seeds, steps := int64(1), positiveFromEnv("SOAK_SEEDS", defaultSeeds), positiveFromEnv("SOAK_STEPS", defaultSteps)
	if one := positiveFromEnv("SOAK_SEED", 0); one != 0 {
		first, seeds = int64(one), 1
	}
	for seed := first; seed < first+int64(seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, plantedFaults{})
			w.brief = os.Getenv("SOAK_BRIEF") != ""
			w.run(steps)
			t.Logf("%d steps: %s", steps, w.summary())
			if len(w.faults) > 0 {
				t.Errorf("%s\nreplay: SOAK_BRIEF=%s SOAK_SEED=%d SOAK_STEPS=%d go test ./soak -run TestGuaranteesHold -v", strings.Join(w.faults, "\n"), os.Getenv("SOAK_BRIEF"), seed, steps)
			}
		})
	}
}

// positiveFromEnv reads a positive number from an environment variable, or returns the fallback.
func positiveFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return fallback
}

// summary lists how often each failure and each other counted event occurred, the outcomes of requests, claims and edits,
// the numbers of jobs and orders, and the stored configuration revision.
func (w *world) summary() string {
	var b strings.Builder
	for _, kind := range sortedNames(w.injected) {
		fmt.Fprintf(&b, "%s %d, ", kind, w.injected[kind])
	}
	for _, kind := range sortedNames(w.platform.store.Injected) {
		fmt.Fprintf(&b, "platform %s %d, ", kind, w.platform.store.Injected[kind])
	}
	fmt.Fprintf(&b, "outcomes %v, verdicts %v, jobs %d, ", w.outcomes, w.verdicts, len(w.allJobs))
	fmt.Fprintf(&b, "orders %d, revision %d, edits %v", w.ordersGiven, w.operators.revision, w.operators.results)
	return b.String()
}
