package soak

import "testing"

// Guards against decisions that depend on map iteration order, which would make a failing run impossible to replay.
func TestSameSeedGivesSameRun(t *testing.T) {
	const seed = 3
	first, second := newWorld(seed, plantedFaults{}), newWorld(seed, plantedFaults{})
	first.brief, second.brief = true, true
	first.run(defaultSteps / 2)
	second.run(defaultSteps / 2)
	if a, b := first.summary(), second.summary(); a != b {
		t.Fatalf("two runs of seed %d differ:\n%s\n%s", seed, a, b)
	}
	if first.rng.Int63() != second.rng.Int63() {
		t.Fatalf("two runs of seed %d drew different numbers", seed)
	}
}
