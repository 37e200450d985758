package claim

import (
	"testing"
	"time"

	"knapweedhoist/testutil"
)

// Guards against a request that runs twice when the store returns from a copy that lacks its claim.
func TestAtMostOnceOverReturns(t *testing.T) {
	if !testutil.RunsKnownRed() {
		t.Skip("listed in KNOWN-RED.txt")
	}
	failed, returns := 0, 0
	first := ""
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 200 * time.Millisecond, LoseReply: 0.1, Drop: 0.05}
	for seed := range int64(50) {
		s := newSimulation(seed, 3, time.Hour, faults, nil)
		s.setOwner(s.names[0], true)
		for range 1500 {
			s.steps++
			s.Step(time.Duration(1+s.rng.Intn(100)) * time.Millisecond)
			s.injectFault()
			if s.rng.Intn(300) == 0 {
				s.Store.Restore(s.Now, time.Duration(s.rng.Int63n(int64(5*time.Second))))
			}
			s.addCall()
			s.advanceCalls()
		}
		returns += int(s.Store.Era())
		if len(s.failures) > 0 {
			failed++
			if first == "" {
				first = s.failures[0]
			}
		}
	}
	t.Logf("%d of 50 seeds fail, %d returns, first: %s", failed, returns, first)
	if failed > 0 {
		t.Fail()
	}
}
