package soak

import "testing"

var plantedFaultCases = map[string]plantedFaults{
	"skip the claim":          {skipClaim: true},
	"drop the attempt number": {ignoreAttemptNumber: true},
	"ignore the fence":        {ignoreFence: true},
	"apply an older revision": {olderRevision: true},
}

// Guards against checks that never fail: each planted fault must make at least one of the seeds that go test runs report a
// fault.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, planted := range plantedFaultCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := 0
			for seed := range int64(defaultSeeds) {
				w := newWorld(seed+1, planted)
				w.brief = true
				w.run(defaultSteps)
				if len(w.faults) > 0 {
					caught++
				}
			}
			t.Logf("caught by %d of %d seeds", caught, defaultSeeds)
			if caught == 0 {
				t.Error("no seed caught the planted fault")
			}
		})
	}
}
