package faultsoak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// defaultVersionSteps is the number of faults per seed of TestVersionsDoNotMix without stepsVariable.
	defaultVersionSteps = 15
	// settleTime passes between the last fault and the calm seconds, which last calmTime. A reset of a daemon's callers comes every
	// calmPause then.
	settleTime, calmTime, calmPause = 2 * time.Second, 3 * time.Second, 150 * time.Millisecond
	// minTakeUps is the number of take-ups in the calm seconds from which on their share is checked.
	minTakeUps = 12
	// maxLogged bounds the violations that the log of a seed shows.
	maxLogged = 10
)

// TestVersionsDoNotMix guards against streams that join events of two software versions, in one answer or over the tries of a caller,
// against gaps and repeats in their event ids, and against take-ups that fail although servers of the version serve.
func TestVersionsDoNotMix(t *testing.T) {
	runSeeds(t, seedsFromEnv(defaultSeeds), runVersionSeed)
}

func runVersionSeed(t *testing.T, seed uint64, binary string) {
	g := NewWithT(t)
	r, err := newVersionRun(seed, binary, logDirectory(t, seed))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(r.close()).To(Succeed()) }()
	r.awaitReady(g)
	r.startCallers()
	for range intFromEnv(stepsVariable, defaultVersionSteps) {
		r.logFault(t, r.injectFault())
		time.Sleep(time.Duration(r.rng.Int64N(int64(2 * maxStepPause))))
	}
	r.pendingReverts.Wait()
	r.awaitReady(g)
	r.awaitService(g)
	time.Sleep(settleTime)
	r.calm.Store(true)
	for end := time.Now().Add(calmTime); time.Now().Before(end); time.Sleep(calmPause) {
		r.randomProcess().link.reset()
	}
	r.calm.Store(false)
	r.stopCallers()
	violations := r.violations()
	t.Logf("seed %d: %d streams, %d with a violation; in calm seconds %d of %d new ones began, %d of %d take-ups went on",
		seed, len(r.streams), len(violations), r.newCalm.served, r.newCalm.tried, r.takenCalm.served, r.takenCalm.tried)
	g.Expect(r.newCalm.served).To(BeNumerically(">", 0))
	if r.takenCalm.tried >= minTakeUps {
		g.Expect(r.takenCalm.share()).To(BeNumerically(">=", r.newCalm.share()/2))
	}
	for _, violation := range violations[:min(len(violations), maxLogged)] {
		t.Log(violation)
	}
	g.Expect(len(violations)).To(BeZero(), "replay: %s=%d %s=1 go test ./faultsoak -run TestVersionsDoNotMix -v", seedVariable, seed, seedsVariable)
}
