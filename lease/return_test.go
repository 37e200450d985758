package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedhoist/testutil"
)

// Guards against one fencing token of two holders, and overlapping orders, when the store returns from an older copy, which takes
// back leases and gives their versions out again, beside the faults of TestOneHolder.
func TestOneFenceOneHolderOverReturns(t *testing.T) {
	if !testutil.RunsKnownRed() {
		t.Skip("listed in KNOWN-RED.txt")
	}
	steps, returns := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "instances"), testutil.DrawFaults(rt, 3000, 40*time.Second), nil)
		s.maxCopyAge = time.Duration(rapid.IntRange(1, 30).Draw(rt, "copy_age_s")) * time.Second
		s.run(1500, nil)
		s.checkOrders()
		if len(s.failures) > 0 {
			rt.Fatalf("%v", s.failures)
		}
		s.checkRecovery(rt)
		steps, returns = steps+s.steps, returns+int(s.Store.Era())
	})
	t.Logf("steps %d, returns of the store %d", steps, returns)
}
