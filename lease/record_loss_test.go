package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Guards against one fencing token of two holders when the lease object is deleted within an era of the store.
func TestOneFenceAfterDeletion(t *testing.T) {
	if !testutil.RunsKnownRed() {
		t.Skip("listed in KNOWN-RED.txt")
	}
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	const era objectapi.Era = 2
	keeper := func(name string) *Keeper {
		return NewKeeper(discardLog, Config{Duty: "quota", Holder: name, Incarnation: name})
	}
	// acquire answers the calls of k at now from a store without the object.
	acquire := func(k *Keeper, now time.Time, version objectapi.Version) (Permit, error) {
		for range 3 {
			for _, call := range k.Tick(now).Calls {
				result := objectapi.CallResult{ID: call.ID, Reply: objectapi.Reply{Era: era}, Err: objectapi.ErrNotFound}
				if call.Request.Op == objectapi.OpPut {
					result.Reply.Object, result.Err = objectapi.Object{Version: version, Value: call.Request.Value}, nil
				}
				for _, next := range k.Done(now, result).Calls {
					object := objectapi.Object{Version: version, Value: next.Request.Value}
					k.Done(now, objectapi.CallResult{ID: next.ID, Reply: objectapi.Reply{Object: object, Era: era}})
				}
			}
		}
		return k.Permit(now, true)
	}
	a, b := keeper("a"), keeper("b")
	a.ObserveEra(now, era)
	b.ObserveEra(now, era)
	now = now.Add(DefaultDuration + DefaultMargin)
	first, err := acquire(a, now, 20)
	g.Expect(err).NotTo(HaveOccurred())
	// The object is deleted, and b reads the lease for the first time a second later.
	second, err := acquire(b, now.Add(time.Second), 25)
	if err == nil {
		_, held := a.Held(now.Add(time.Second))
		g.Expect(held).To(BeFalse(), "two holders at once")
		g.Expect(second.Fence).NotTo(Equal(first.Fence))
	}
}

// Guards against a lease that nobody can hold for good once the store no longer names its era.
func TestLeaseWhenErasVanish(t *testing.T) {
	if !testutil.RunsKnownRed() {
		t.Skip("listed in KNOWN-RED.txt")
	}
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	k := NewKeeper(discardLog, Config{Duty: "quota", Holder: "a", Incarnation: "a"})
	k.ObserveEra(now, 3)
	version := objectapi.Version(10)
	var stored []byte
	held := 0
	for range 6000 { // ten minutes
		now = now.Add(100 * time.Millisecond)
		calls := k.Tick(now).Calls
		for len(calls) > 0 {
			call := calls[0]
			result := objectapi.CallResult{ID: call.ID}
			switch {
			case call.Request.Op == objectapi.OpPut:
				version++
				stored = call.Request.Value
				result.Reply.Object = objectapi.Object{Version: version, Value: stored}
			case stored == nil:
				result.Err = objectapi.ErrNotFound
			default:
				result.Reply.Object = objectapi.Object{Version: version, Value: stored}
			}
			calls = k.Done(now, result).Calls
		}
		if _, ok := k.Held(now); ok {
			held++
		}
	}
	g.Expect(held).To(BeNumerically(">", 0), "no lease in ten minutes of answers without an era")
}
