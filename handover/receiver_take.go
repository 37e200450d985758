package handover

import (
	"cmp"
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
	"knapweedhoist/wire"
)

// heard notes that a home lives.
func (r *Receiver) heard(home string) {
	delete(r.broken, home)
}

// due returns the homes that are taken for dead by now, in a fixed order.
func (r *Receiver) due(now time.Time) []string {
	var homes []string
	for home, at := range r.broken {
		if !now.Before(at) {
			homes = append(homes, home)
		}
	}
	slices.Sort(homes)
	return homes
}

func (r *Receiver) hasCopies(home string) bool {
	for _, copied := range r.copies {
		if copied.home == home {
			return true
		}
	}
	return false
}

func (r *Receiver) takeOverAll(now time.Time, home string) {
	delete(r.broken, home)
	var ids []string
	for id, copied := range r.copies {
		if copied.home == home {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(r.copies[a].sequence, r.copies[b].sequence) })
	for _, id := range ids {
		r.takeOver(now, id)
	}
}

// takeOver makes this instance the owner of one request.
func (r *Receiver) takeOver(now time.Time, id string) {
	copied := r.copies[id]
	if _, taken := r.taken[id]; taken {
		r.violated(InvariantTwoOwners, copied, "taken over twice")
		return
	}
	run := mayRun(copied.state)
	if run && copied.state.GetSent() && !repeatable(copied.state) {
		r.violated(InvariantResend, copied, "taken over to run")
	}
	r.taken[id] = now
	r.forget(id)
	r.actions = append(r.actions, TakeOver{State: copied.state, Run: run})
}

func mayRun(state *wire.RequestState) bool {
	return !state.GetFinished() && (repeatable(state) || !state.GetSent())
}

func repeatable(state *wire.RequestState) bool {
	return state.GetKind() == string(catalog.KindModel) || state.GetIdempotent()
}

func (r *Receiver) forget(id string) {
	copied := r.copies[id]
	if copied == nil {
		return
	}
	r.bytes -= copied.size
	delete(r.copies, id)
}

func (r *Receiver) full(id string, size int) bool {
	count, bytes := len(r.copies), r.bytes
	if old := r.copies[id]; old != nil {
		count--
		bytes -= old.size
	}
	return count >= r.cfg.MaxCopies || bytes+size > r.cfg.MaxBytes
}

func (r *Receiver) violated(name string, copied *held, detail string) {
	r.check.Violated(invariant.Violation{
		Name: name, Step: "take_over", Peer: copied.home, Request: copied.state.GetId(), Detail: detail,
	})
}

// position returns the number of events of a copy, with the finish.
func position(state *wire.RequestState) uint64 {
	n := uint64(len(state.GetTokens()))
	if state.GetFinished() {
		n++
	}
	return n
}
