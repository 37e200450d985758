package lease

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Guards against two holders at once, a fencing token that does not change with the holder, and overlapping orders at
// endpoints that ignore fencing tokens, under pauses, outages, restarts and lost, late and throttled calls.
func TestOneHolder(t *testing.T) {
	steps, acquired := 0, uint64(0)
	injected := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "instances"), testutil.DrawFaults(rt, 3000, 40*time.Second), nil)
		s.run(1500, nil)
		s.checkOrders()
		if len(s.failures) > 0 {
			rt.Fatalf("%v", s.failures)
		}
		s.checkRecovery(rt)
		steps += s.steps
		acquired += s.record.Fence
		testutil.AddCounts(injected, s.Store.Injected)
	})
	t.Logf("steps %d, changes of holder %d, faults injected %v", steps, acquired, injected)
}

// checkRecovery ends the faults of the store, restarts one instance and checks that some instance holds the lease 100 s
// later.
func (s *simulation) checkRecovery(t *rapid.T) {
	s.Store.SetOutage(false)
	s.Store.SetFaults(testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond})
	s.start(s.names[0], nil)
	for range 1000 {
		s.Step(100 * time.Millisecond)
	}
	for _, name := range s.names {
		if _, held := s.contenders[name].Held(s.Now); held {
			return
		}
	}
	t.Fatalf("no instance holds the lease 100 s after the last fault; record %+v", s.record)
}

// Guards against checks that cannot fail: the same checks must find each planted defect within 50 seeds.
func TestPlantedFaults(t *testing.T) {
	defects := map[string]func(*contender){
		"holder acts after expiry": func(c *contender) {
			c.tamper = func(k *Keeper) { k.heldUntil = k.heldUntil.Add(time.Hour) }
		},
		"contender does not wait":  func(c *contender) { c.tamper = func(k *Keeper) { k.versionReadAt = time.Time{} } },
		"writes without condition": func(c *contender) { c.dropConditions = true },
		"no wait for old orders":   func(c *contender) { c.tamper = func(k *Keeper) { k.ordersAllowedFrom = time.Time{} } },
	}
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 500 * time.Millisecond, LoseReply: 0.1, Late: 0.1, MaxLate: 20 * time.Second}
	testutil.RunPlantedFaults(t, 50, defects, func(seed int64, inject func(*contender)) []string {
		s := newSimulation(seed, 4, faults, inject)
		s.run(1500, inject)
		s.checkOrders()
		return s.failures
	})
}

var _ = Describe("keeper", func() {
	now := time.UnixMilli(1_800_000_000_000)
	keeper := func() *Keeper {
		return NewKeeper(discardLog, Config{Duty: "quota", Holder: "a", Incarnation: "A"})
	}
	acquire := func(k *Keeper) Output {
		read := k.Tick(now)
		create := k.Done(now, objectapi.CallResult{ID: read.Calls[0].ID, Err: objectapi.ErrNotFound})
		Expect(create.Calls[0].Request.Condition.IfAbsent).To(BeTrue())
		done := objectapi.CallResult{ID: create.Calls[0].ID, Reply: objectapi.Reply{Object: objectapi.Object{Version: 5}}}
		return k.Done(now.Add(time.Second), done)
	}

	It("guards against a lease duration that counts from the reply instead of the request", func() {
		k := keeper()
		Expect(acquire(k).Events).To(ConsistOf(Event{Kind: Acquired, Fence: 1, Version: 5}))
		_, held := k.Held(now.Add(8*time.Second - time.Millisecond))
		Expect(held).To(BeTrue())
		_, held = k.Held(now.Add(8 * time.Second))
		Expect(held).To(BeFalse())
	})

	It("guards against orders to endpoints that ignore fencing tokens while orders of the former holder are in flight", func() {
		k := keeper()
		acquire(k)
		_, err := k.Permit(now.Add(2*time.Second), false)
		Expect(err).To(MatchError(ErrFormerOrdersInFlight))
		permit, err := k.Permit(now.Add(2*time.Second), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(permit).To(Equal(Permit{Fence: 1, Timeout: DefaultMaxOrderDuration}))
		_, err = k.Permit(now.Add(6*time.Second), false)
		Expect(err).NotTo(HaveOccurred())
	})

	It("guards against a holder that loses the lease because the reply to its renewal was lost", func() {
		k := keeper()
		acquire(k)
		renew := k.Tick(now.Add(4 * time.Second)).Calls[0]
		k.Done(now.Add(5*time.Second), objectapi.CallResult{ID: renew.ID, Err: objectapi.ErrUnavailable})
		again := k.Tick(now.Add(6 * time.Second)).Calls[0]
		stored := objectapi.Object{Version: 6, Value: renew.Request.Value}
		conflict := objectapi.CallResult{ID: again.ID, Reply: objectapi.Reply{Object: stored}, Err: objectapi.ErrConflict}
		Expect(k.Done(now.Add(7*time.Second), conflict).Events).To(BeEmpty())
		_, held := k.Held(now.Add(12*time.Second - time.Millisecond))
		Expect(held).To(BeTrue())
	})

	It("guards against a late order that an endpoint carries out after a newer one of the same holder", func() {
		k := keeper()
		acquire(k)
		k.RaiseFence()
		renew := k.Tick(now.Add(4 * time.Second)).Calls[0]
		record, err := decodeRecord(renew.Request.Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Fence).To(Equal(uint64(2)))
		stored := objectapi.CallResult{ID: renew.ID, Reply: objectapi.Reply{Object: objectapi.Object{Version: 6}}}
		Expect(k.Done(now.Add(4*time.Second), stored).Events).To(BeEmpty())
		permit, err := k.Permit(now.Add(5*time.Second), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(permit.Fence).To(Equal(uint64(2)))
		again, err := decodeRecord(k.Tick(now.Add(8 * time.Second)).Calls[0].Request.Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Fence).To(Equal(uint64(2)), "raised once")
	})

	It("guards against a release after which the next holder still waits for the expiry", func() {
		k := keeper()
		acquire(k)
		release := k.Release(now.Add(4 * time.Second)).Calls[0]
		_, held := k.Held(now.Add(4 * time.Second))
		Expect(held).To(BeFalse())
		next := NewKeeper(discardLog, Config{Duty: "quota", Holder: "b", Incarnation: "B"})
		read := next.Tick(now).Calls[0]
		stored := objectapi.Object{Version: 6, Value: release.Request.Value}
		takeover := next.Done(now, objectapi.CallResult{ID: read.ID, Reply: objectapi.Reply{Object: stored}})
		Expect(takeover.Calls).To(HaveLen(1))
		record, err := decodeRecord(takeover.Calls[0].Request.Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Fence).To(Equal(uint64(2)))
	})
})
