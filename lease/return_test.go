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

// Guards against one fencing token of two holders, and overlapping orders, when the store returns from an older copy, which takes
// back leases and gives their versions out again, beside the faults of TestOneHolder.
func TestOneFenceOneHolderOverReturns(t *testing.T) {
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

// Guards against checks of TestOneFenceOneHolderOverReturns that cannot fail.
func TestPlantedFaultsOverReturns(t *testing.T) {
	defects := map[string]func(*contender){
		"era ignored": func(c *contender) { c.ignoreEra = true },
		"no wait for a lost lease": func(c *contender) {
			c.tamper = func(k *Keeper) { k.retakeUntil = k.versionReadAt.Add(time.Hour) }
		},
		"lost lease taken again after its end": func(c *contender) {
			var until time.Time
			c.tamper = func(k *Keeper) {
				if !k.retakeUntil.Equal(until) {
					until = k.retakeUntil.Add(DefaultDuration)
					k.retakeUntil = until
				}
			}
		},
		"released record of an earlier era is free": func(c *contender) {
			c.tamper = func(k *Keeper) {
				if k.record.Released && !k.ofEra(k.record) {
					k.versionReadAt, k.nextCallAt = time.Time{}, time.Time{}
				}
			}
		},
	}
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 500 * time.Millisecond, LoseReply: 0.1, Late: 0.1, MaxLate: 20 * time.Second}
	maxCopyAge := 5 * time.Second
	run := func(seed int64, inject func(*contender)) []string {
		s := newSimulation(seed, 4, faults, inject)
		s.maxCopyAge = maxCopyAge
		s.run(2000, inject)
		s.checkOrders()
		return s.failures
	}
	testutil.RunPlantedFaults(t, 50, defects, run)
	// Two holders get one of these tokens only if a late write has the version of a lease of a later era.
	faults = testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 50 * time.Millisecond, Late: 0.5, MaxLate: 5 * time.Second}
	maxCopyAge = 12 * time.Second
	counted := map[string]func(*contender){"tokens that count the holders of an era": func(c *contender) { c.countFences = true }}
	testutil.RunPlantedFaults(t, 100, counted, run)
}

var _ = Describe("keeper over a return of the store", func() {
	now := time.UnixMilli(1_800_000_000_000)
	newKeeper := func(name string) *Keeper {
		return NewKeeper(discardLog, Config{Duty: "quota", Holder: name, Incarnation: name})
	}
	absent := func(call objectapi.Call, era objectapi.Era) objectapi.CallResult {
		return objectapi.CallResult{ID: call.ID, Reply: objectapi.Reply{Era: era}, Err: objectapi.ErrNotFound}
	}
	stored := func(call objectapi.Call, version objectapi.Version, era objectapi.Era) objectapi.CallResult {
		object := objectapi.Object{Version: version, Value: call.Request.Value}
		return objectapi.CallResult{ID: call.ID, Reply: objectapi.Reply{Object: object, Era: era}}
	}
	// holder returns a keeper that has held the lease with token 1 since now, from a store that named no era.
	holder := func() *Keeper {
		k := newKeeper("a")
		k.Done(now, stored(k.Done(now, absent(k.Tick(now).Calls[0], 0)).Calls[0], 5, 0))
		return k
	}

	It("guards against a former token in a new era, and a holder that waits for its own lease to expire", func() {
		k := holder()
		out := k.ObserveEra(now.Add(time.Second), 3)
		Expect(out.Events).To(ConsistOf(Event{Kind: Lost, Fence: 1, Version: 5}))
		_, err := k.Permit(now.Add(time.Second), true)
		Expect(err).To(MatchError(ErrNotHeld))
		write := k.Done(now.Add(time.Second), absent(k.Tick(now.Add(time.Second)).Calls[0], 3)).Calls[0]
		k.Done(now.Add(time.Second), stored(write, 4, 3))
		permit, err := k.Permit(now.Add(time.Second), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(permit.Fence).To(Equal(uint64(3<<eraShift + 1)))
	})

	It("guards against a former holder that takes a lost lease again after its end, when another may hold it", func() {
		end := now.Add(DefaultDuration - DefaultMargin)
		for at, retakes := range map[time.Time]bool{
			end.Add(-time.Millisecond): true, end: false, now.Add(time.Second + DefaultDuration + DefaultMargin - time.Millisecond): false,
			now.Add(time.Second + DefaultDuration + DefaultMargin): true,
		} {
			k := holder()
			k.ObserveEra(now.Add(time.Second), 3)
			Expect(len(k.Done(at, absent(k.Tick(at).Calls[0], 3)).Calls) == 1).To(Equal(retakes), "%s after the last renewal", at.Sub(now))
		}
	})

	It("guards against a takeover up to one period of reads after the lease may be taken", func() {
		k := newKeeper("b")
		written := time.Duration(0)
		for at := time.Duration(0); written == 0 && at < time.Minute; at += 100 * time.Millisecond {
			calls := k.Tick(now.Add(at)).Calls
			for len(calls) > 0 && calls[0].Request.Op == objectapi.OpGet {
				calls = k.Done(now.Add(at), absent(calls[0], 3)).Calls
			}
			if len(calls) > 0 {
				written = at
			}
		}
		Expect(written).To(Equal(DefaultDuration + DefaultMargin))
	})

	It("guards against a takeover while the holder of a lost lease may act", func() {
		k := newKeeper("b")
		Expect(k.Done(now, absent(k.Tick(now).Calls[0], 3)).Calls).To(BeEmpty())
		read := k.Tick(now.Add(DefaultDuration + DefaultMargin - time.Millisecond)).Calls[0]
		Expect(read.Request.Op).To(Equal(objectapi.OpGet))
		write := k.Done(now.Add(DefaultDuration+DefaultMargin), absent(read, 3)).Calls[0]
		Expect(write.Request.Op).To(Equal(objectapi.OpPut))
	})

	It("guards against a lease from a write that took effect in a later era, or whose answer is late", func() {
		k := newKeeper("a")
		write := k.Done(now, absent(k.Tick(now).Calls[0], 0)).Calls[0]
		Expect(k.Done(now, stored(write, 5, 1)).Events).To(BeEmpty())
		_, held := k.Held(now)
		Expect(held).To(BeFalse())
		k = holder()
		renewal := k.Tick(now.Add(4 * time.Second)).Calls[0]
		k.ObserveEra(now.Add(4*time.Second), 1)
		k.Done(now.Add(4*time.Second), stored(renewal, 6, 0))
		_, held = k.Held(now.Add(4 * time.Second))
		Expect(held).To(BeFalse())
	})

	It("guards against a token of a holder whose record a late write of an earlier era has replaced", func() {
		former := nextFence(1<<eraShift+8, 2, 30)
		Expect(nextFence(1<<eraShift+9, 2, 31)).To(BeNumerically(">", former))
	})
})
