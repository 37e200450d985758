package handover

import (
	"cmp"
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
	"knapweedhoist/wire"
)

// due returns the homes that are taken for dead by now, in a fixed order.
func (r *Receiver) due(now time.Time) []string {
	var names []string
	for name, state := range r.homes {
		if !state.deadAt.IsZero() && !now.Before(state.deadAt) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// takeOverAll takes over the copies of a dead home, unless it named another
// successor last.
func (r *Receiver) takeOverAll(now time.Time, home string) {
	state := r.home(home, now)
	state.deadAt = time.Time{}
	if state.announced && state.successor != r.self {
		r.forgetHome(home)
		return
	}
	for _, id := range r.copiesOf(home) {
		r.takeOver(now, id)
	}
}

// copiesOf returns the ids of a home's copies, oldest first.
func (r *Receiver) copiesOf(home string) []string {
	var ids []string
	for id, copied := range r.copies {
		if copied.home == home {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(r.copies[a].sequence, r.copies[b].sequence) })
	return ids
}

func (r *Receiver) forgetHome(home string) {
	for _, id := range r.copiesOf(home) {
		r.forget(id)
	}
}

// expire forgets what is remembered of requests and homes for a time.
func (r *Receiver) expire(now time.Time) {
	for id, at := range r.taken {
		if now.Sub(at) > takenKept {
			delete(r.taken, id)
		}
	}
	for name, state := range r.homes {
		if now.Sub(state.at) > homeKept && len(r.copiesOf(name)) == 0 {
			delete(r.homes, name)
		}
	}
}

// takeOver makes this instance the owner of one request.
func (r *Receiver) takeOver(now time.Time, id string) {
	copied := r.copies[id]
	if _, taken := r.taken[id]; taken {
		r.violated(InvariantTwoOwners, copied, "taken over twice")
		return
	}
	r.taken[id] = now
	r.forget(id)
	r.actions = append(r.actions, TakeOver{State: copied.state, Run: mayRun(copied.state)})
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
