package faultsoak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/platform/platformtest"
)

const (
	// maxChangeGap is the longest time between a change of the configuration and the next fault, maxWatchFault the longest time for
	// which a daemon is paused or does not reach the store around a return.
	maxChangeGap  = 2 * time.Second
	maxWatchFault = 2 * time.Second
)

// TestConfigOverStoreReturns guards against a confirmed change of the configuration that a daemon never applies, and against
// one that it takes back, when the store returns from an older copy.
func TestConfigOverStoreReturns(t *testing.T) {
	runSeeds(t, seedsFromEnv(1), runConfigReturns)
}

func runConfigReturns(t *testing.T, seed uint64, binary string) {
	g := NewWithT(t)
	r, err := newSoakRun(seed, binary, logDirectory(t, seed))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(r.close()).To(Succeed()) }()
	r.awaitReady(g)
	r.startCallers()
	replay := fmt.Sprintf("replay: %s=%d go test ./faultsoak -run TestConfigOverStoreReturns -v", seedVariable, seed)
	for range intFromEnv(stepsVariable, defaultReturns) {
		r.logFault(t, r.reconfigure())
		r.logFault(t, r.awaitVersion(g, replay))
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxChangeGap))))
		r.logFault(t, r.disturbWatch())
		r.logFault(t, r.returnStore())
		for _, p := range r.processes {
			g.Expect(r.versionStatus(p)).NotTo(Equal(http.StatusNotFound), "%s has taken version %d back; %s", p.name, r.platform.Version, replay)
		}
		r.logFault(t, r.reconfigure())
		r.logFault(t, r.awaitVersion(g, replay))
	}
	r.pendingReverts.Wait()
	r.stopCallers()
	t.Logf("seed %d: exchanges by status %v", seed, r.ledger.counts())
	g.Expect(r.ledger.check(r.executions())).To(BeEmpty(), replay)
}

// disturbWatch pauses a daemon, breaks its link to the store, or does neither.
func (r *soakRun) disturbWatch() string {
	n := r.rng.IntN(len(r.processes))
	p := r.processes[n]
	switch r.rng.IntN(3) {
	case 0:
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("pause %s for %v", p.name, r.revertLater(maxWatchFault, func() { p.signal(syscall.SIGCONT) }))
	case 1:
		return r.breakStoreLink()
	default:
		return "no other fault"
	}
}

// awaitVersion waits until each daemon serves the route that only the present version of the configuration has. It returns a line for
// the log.
func (r *soakRun) awaitVersion(g Gomega, replay string) string {
	begin := time.Now()
	for _, p := range r.processes {
		g.Eventually(func() int { return r.versionStatus(p) }, hangTimeout).Should(Equal(http.StatusOK),
			"version %d at %s; %s", r.platform.Version, p.name, replay)
	}
	return fmt.Sprintf("version %d in force at all daemons after %v", r.platform.Version, time.Since(begin))
}

// versionStatus returns the status with which a daemon answers a request on the route of the present version, 0 without an answer.
func (r *soakRun) versionStatus(p *process) int {
	caller, err := platformtest.Dial(p.link.address(), callerTimeout)
	if err != nil {
		return 0
	}
	defer caller.Close()
	return caller.Do(http.MethodGet, platformtest.VersionPath(r.platform.Version)+probeName, "probe-"+p.name, callerTimeout).Status
}
