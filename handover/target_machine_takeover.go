package handover

import (
	"cmp"
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
	"knapweedhoist/wire"
)

// dueSources returns the sources whose takeover time has come, sorted by incarnation.
func (m *TargetMachine) dueSources(now time.Time) []string {
	var names []string
	for name, state := range m.sources {
		if !state.takeOverAt.IsZero() && !now.Before(state.takeOverAt) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// takeOverAll takes over the copies of a source that is dead or whose session stayed
// broken. If the source announced another successor, or none, last, the copies are
// removed instead.
func (m *TargetMachine) takeOverAll(now time.Time, source string) {
	state := m.source(source, now)
	state.takeOverAt = time.Time{}
	if state.announced && state.successor != m.self {
		m.removeCopiesOf(source)
		return
	}
	for _, id := range m.copiesOf(source) {
		m.takeOver(now, id)
	}
}

// copiesOf returns the request ids of a source's copies, oldest first.
func (m *TargetMachine) copiesOf(source string) []string {
	var ids []string
	for id, copied := range m.copies {
		if copied.source == source {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(m.copies[a].sequence, m.copies[b].sequence) })
	return ids
}

func (m *TargetMachine) removeCopiesOf(source string) {
	for _, id := range m.copiesOf(source) {
		m.removeCopy(id)
	}
}

// expire removes the ids of taken requests after takenRetention, and the state of
// sources without copies after sourceRetention.
func (m *TargetMachine) expire(now time.Time) {
	for id, at := range m.takenAt {
		if now.Sub(at) > takenRetention {
			delete(m.takenAt, id)
		}
	}
	for name, state := range m.sources {
		if now.Sub(state.usedAt) > sourceRetention && len(m.copiesOf(name)) == 0 {
			delete(m.sources, name)
		}
	}
}

// takeOver makes this instance the owner of one request.
func (m *TargetMachine) takeOver(now time.Time, id string) {
	copied := m.copies[id]
	if _, taken := m.takenAt[id]; taken {
		m.reportViolation(InvariantTwoOwners, copied, "taken over twice")
		return
	}
	m.takenAt[id] = now
	m.removeCopy(id)
	m.actions = append(m.actions, TakeOver{State: copied.state, MaySend: maySend(copied.state)})
}

// maySend reports whether the call of a copied request may be sent: it is repeatable
// or was not sent yet, and the request is not finished.
func maySend(state *wire.RequestState) bool {
	return !state.GetFinished() && (repeatable(state) || !state.GetSent())
}

func repeatable(state *wire.RequestState) bool {
	return state.GetKind() == string(catalog.KindModel) || state.GetIdempotent()
}

func (m *TargetMachine) removeCopy(id string) {
	copied := m.copies[id]
	if copied == nil {
		return
	}
	m.bytes -= copied.size
	delete(m.copies, id)
}

// full reports whether a copy of this size would exceed the limits. An earlier copy
// of the same request is not counted, because the new copy replaces it.
func (m *TargetMachine) full(id string, size int) bool {
	count, bytes := len(m.copies), m.bytes
	if old := m.copies[id]; old != nil {
		count--
		bytes -= old.size
	}
	return count >= m.cfg.MaxCopies || bytes+size > m.cfg.MaxBytes
}

func (m *TargetMachine) reportViolation(name string, copied *requestCopy, detail string) {
	m.check.Violated(invariant.Violation{
		Name: name, Step: "take_over", Peer: copied.source, Request: copied.state.GetId(), Detail: detail,
	})
}

// position returns the number of events of a copy, including the finish event.
func position(state *wire.RequestState) uint64 {
	n := uint64(len(state.GetTokens()))
	if state.GetFinished() {
		n++
	}
	return n
}
