package soak

import (
	"testing"

	"knapweedhoist/testutil"
)

// plantedSteps is the length of the runs with planted faults.
const plantedSteps = defaultSteps

var plants = map[string]plant{
	"skip the claim":          {skipClaim: true},
	"drop the attempt number": {dropAttempt: true},
	"ignore the fence":        {ignoreFence: true},
	"apply an older revision": {olderRevision: true},
}

// Guards against checks that cannot fail: each planted fault must be caught by the seeds that go test runs.
func TestPlantedFaultsAreCaught(t *testing.T) {
	testutil.Planted(t, defaultSeeds, plants, func(seed int64, planted plant) []string {
		w := newWorld(seed+1, planted)
		w.run(plantedSteps)
		return w.faults
	})
}
