package lease

import (
	"fmt"
	"time"

	"knapweedhoist/invariant"
)

// Names of the checked invariants.
const (
	// InvariantFence: within an era of the store the fencing token never decreases, and increases at each change of the holder's incarnation.
	InvariantFence = "lease/fence_order"
	// InvariantOneHolder: no other incarnation is stored as the holder while this instance holds the lease.
	InvariantOneHolder = "lease/one_holder"
)

// checkObserved checks a newly observed record against the last one.
func (k *Keeper) checkObserved(now time.Time, record Record) {
	if k.cfg.Checker == nil || !k.ofEra(record) {
		return // a record of an earlier era is one that the store has returned to, or a late write
	}
	changed := k.record.Incarnation != record.Incarnation
	if record.Fence < k.fence || (changed && k.version != 0 && record.Fence == k.fence && k.fence != 0) {
		k.reportViolation(InvariantFence, record)
	}
	if _, held := k.Held(now); held && changed {
		k.reportViolation(InvariantOneHolder, record)
	}
}

// reportViolation reports that record violates an invariant.
func (k *Keeper) reportViolation(name string, record Record) {
	k.cfg.Checker.Violated(invariant.Violation{
		Name: name, Step: "observe", Peer: record.Holder,
		Detail: fmt.Sprintf("duty %s: fence %d after %d", k.cfg.Duty, record.Fence, k.fence),
	})
}
