package faultsoak

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/platform/platformtest"
	"knapweedhoist/standin"
)

const (
	// wantedEngines is more than the servers of a run, so that each holder of the duties orders endpoints.
	wantedEngines = 6
	// defaultReturns is the number of returns of the store of each run without stepsVariable.
	defaultReturns = 2
	// maxOutage is the longest outage before a return. The copies are from minCopyAge to maxCopyAge old.
	maxOutage  = 700 * time.Millisecond
	minCopyAge = time.Second
	maxCopyAge = 5 * time.Second
	// maxRewriteDelay is the longest time after a return at which the operator and the servers write theirs again.
	maxRewriteDelay = 500 * time.Millisecond
	// maxHolderGap is the longest time between a fault of the holder and the return of the store, maxReturnGap the longest
	// one between a return and the next fault. A lease that is not released is taken over after 5.2 s.
	maxHolderGap = 2 * time.Second
	maxReturnGap = 7 * time.Second
)

// TestOneFenceOverStoreReturns guards against one fencing token from two holders, and two different reports of one window, when
// the store returns from an older copy that lacks a takeover or a report.
func TestOneFenceOverStoreReturns(t *testing.T) {
	runSeeds(t, seedsFromEnv(1), runStoreReturns)
}

func runStoreReturns(t *testing.T, seed uint64, binary string) {
	g := NewWithT(t)
	r, err := newSoakRun(seed, binary, logDirectory(t, seed))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(r.close()).To(Succeed()) }()
	r.platform.MinEngines = wantedEngines
	g.Expect(r.platform.Reconfigure()).To(Succeed())
	r.awaitReady(g)
	r.startCallers()
	g.Eventually(func() int { return len(r.platform.Cloud.Calls(platformtest.UsagePath)) }, hangTimeout).Should(BeNumerically(">", 0))
	for range intFromEnv(stepsVariable, defaultReturns) {
		r.logFault(t, r.disturbHolder())
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxHolderGap))))
		r.logFault(t, r.returnStore())
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxReturnGap))))
	}
	r.pendingReverts.Wait()
	r.awaitReady(g)
	r.awaitService(g)
	r.stopCallers()
	usage, orders := r.platform.Cloud.Calls(platformtest.UsagePath), r.platform.Cloud.Calls(platformtest.ScalePath)
	t.Logf("seed %d: %d usage reports, %d orders, exchanges by status %v", seed, len(usage), len(orders), r.ledger.counts())
	g.Expect(checkDuties(usage)).To(BeEmpty(), "replay: %s=%d go test ./faultsoak -run TestOneFenceOverStoreReturns -v", seedVariable, seed)
	g.Expect(checkOrders(orders)).To(BeEmpty(), "replay: %s=%d go test ./faultsoak -run TestOneFenceOverStoreReturns -v", seedVariable, seed)
}

// disturbHolder stops, kills or pauses the sender of the last usage report, in one of 4 draws a random process instead.
func (r *soakRun) disturbHolder() string {
	p := r.randomProcess()
	if calls := r.platform.Cloud.Calls(platformtest.UsagePath); len(calls) > 0 && r.rng.IntN(4) > 0 {
		for _, candidate := range r.processes {
			if candidate.name == calls[len(calls)-1].Holder {
				p = candidate
			}
		}
	}
	switch r.rng.IntN(4) {
	case 0:
		p.kill()
		return fmt.Sprintf("kill %s for %v", p.name, r.revertLater(2*time.Second, func() { restart(p) }))
	case 1:
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("pause %s for %v", p.name, r.revertLater(7*time.Second, func() { p.signal(syscall.SIGCONT) }))
	default:
		exited := p.signal(syscall.SIGTERM)
		r.pendingReverts.Go(func() {
			<-exited
			restart(p)
		})
		return "stop " + p.name
	}
}

// returnStore lets the store be away for a moment and return from an older copy. The operator and the servers write theirs
// again soon after.
func (r *soakRun) returnStore() string {
	removeFault := r.platform.Store.Faults.Add(standin.Fault{Kind: standin.FaultOutage})
	for _, l := range r.storeLinks {
		l.reset()
	}
	outage := time.Duration(r.rng.Int64N(int64(maxOutage)))
	time.Sleep(outage)
	age := minCopyAge + time.Duration(r.rng.Int64N(int64(maxCopyAge-minCopyAge)))
	r.platform.Store.Restore(age)
	removeFault()
	rewrite := time.Duration(r.rng.Int64N(int64(maxRewriteDelay)))
	time.Sleep(rewrite)
	err := r.platform.Rewrite()
	for _, s := range r.servers {
		if registerErr := r.platform.Register(s.id(), s.service, s.link.address()); registerErr != nil {
			err = registerErr
		}
	}
	return fmt.Sprintf("store away for %v, returned from a copy of %v, written again after %v, error %v", outage, age, rewrite, err)
}

// checkOrders returns the violations in the orders for endpoints: a fencing token that decreases, and one that two holders use
// for one service and data centre.
func checkOrders(calls []platformtest.CloudCall) (violations []string) {
	subjects := make(map[string]*fenceCheck)
	for _, call := range calls {
		var order platformtest.ScaleOrder
		if err := json.Unmarshal(call.Body, &order); err != nil {
			violations = append(violations, "order is not valid JSON: "+err.Error())
			continue
		}
		subject := order.Service + " " + order.Zone
		if subjects[subject] == nil {
			subjects[subject] = newFenceCheck()
		}
		if violation := subjects[subject].add(call); violation != "" {
			violations = append(violations, subject+": "+violation)
		}
	}
	return violations
}
