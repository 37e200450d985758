package faultsoak

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/platform/platformtest"
)

const (
	// pausedStreams is the share of the streams that pause, and maxStreamPause the longest pause. Both fit a caller's patience.
	pausedStreams  = 0.3
	maxStreamPause = 1500 * time.Millisecond
	// stopGap is the longest pause between two planned changes.
	stopGap = 1500 * time.Millisecond
	// defaultStops is the number of planned changes of each run without stepsVariable.
	defaultStops = 12
)

// plannedChanges are changes that operators make in calm operation.
var plannedChanges = []fault{
	(*soakRun).stopProcess, (*soakRun).stopProcess, (*soakRun).changeSettings, (*soakRun).reconfigure,
}

// TestPlannedStops guards against requests that were sent to a server and whose connection ends without a complete answer
// around planned stops and changes, while callers keep their connections and sound servers pause their streams.
func TestPlannedStops(t *testing.T) {
	binary, err := buildDaemon(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	first := intFromEnv(seedVariable, 1)
	for n := range intFromEnv(seedsVariable, 1) {
		runPlannedStops(t, uint64(first+n), binary)
	}
}

func runPlannedStops(t *testing.T, seed uint64, binary string) {
	g := NewWithT(t)
	r, err := newSoakRun(seed, binary, logDirectory(t, seed))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(r.close()).To(Succeed()) }()
	r.pauseStreams()
	r.awaitReady(g)
	r.startCallers()
	for range intFromEnv(stepsVariable, defaultStops) {
		r.logFault(t, plannedChanges[r.rng.IntN(len(plannedChanges))](r))
		time.Sleep(time.Duration(r.rng.Int64N(int64(stopGap))))
	}
	r.pendingReverts.Wait()
	r.stopCallers()
	t.Logf("seed %d: exchanges by status %v", seed, r.ledger.counts())
	g.Expect(r.ledger.counts()[200]).To(BeNumerically(">", 0))
	g.Expect(r.ledger.check(r.executions())).To(BeEmpty())
	g.Expect(r.ledger.lost(r.executions())).To(BeEmpty(), "replay: %s=%d go test ./faultsoak -run TestPlannedStops -v", seedVariable, seed)
}

// pauseStreams makes the engines pause some of their streams.
func (r *soakRun) pauseStreams() {
	for n, s := range r.servers {
		if s.service != platformtest.EngineService {
			continue
		}
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
		s.backend.RespondWith(func() platformtest.Response {
			mu.Lock()
			defer mu.Unlock()
			response := platformtest.Response{Events: events, EventInterval: 15 * time.Millisecond}
			if rng.Float64() < pausedStreams {
				response.PauseAfter, response.Pause = 1+rng.IntN(events-1), time.Duration(rng.Int64N(int64(maxStreamPause)))
			}
			return response
		})
	}
}
