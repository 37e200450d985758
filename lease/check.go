package lease

import (
	"fmt"
	"time"

	"knapweedhoist/invariant"
)

// Names of the asserted invariants.
const (
	// InvariantFence: the fence never falls, and grows by exactly one at a change of holder.
	InvariantFence = "lease/fence_order"
	// InvariantOneHolder: no other holder appears while this instance still holds the lease.
	InvariantOneHolder = "lease/one_holder"
)

func (k *Keeper) checkSeen(now time.Time, record Record) {
	if k.cfg.Checker == nil {
		return
	}
	changed := k.record.Incarnation != record.Incarnation
	if record.Fence < k.fence || (changed && k.version != 0 && record.Fence == k.fence && k.fence != 0) {
		k.violated(InvariantFence, record)
	}
	if _, held := k.Held(now); held && changed {
		k.violated(InvariantOneHolder, record)
	}
}

func (k *Keeper) violated(name string, record Record) {
	k.cfg.Checker.Violated(invariant.Violation{
		Name: name, Step: "observe", Peer: record.Holder,
		Detail: fmt.Sprintf("duty %s: fence %d after %d", k.cfg.Duty, record.Fence, k.fence),
	})
}
