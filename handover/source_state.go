package handover

import "time"

// sourceRetention is how long the state of a source without copies is kept. It is
// longer than any handover.
const sourceRetention = 10 * time.Minute

// sourceState is the state of one source at the target.
type sourceState struct {
	// epoch is the source's newest selection of this instance as its peer.
	epoch uint64
	// announced is set once the source has announced its departure; successor is
	// then the successor that it announced last, "" for none.
	announced bool
	successor string
	// takeOverAt is when the copies of a source with a broken session are taken
	// over. It is zero while no takeover is pending.
	takeOverAt time.Time
	// usedAt is when the state was last used, for sourceRetention.
	usedAt time.Time
}

// source returns the state of a source and creates it if necessary.
func (m *TargetMachine) source(name string, now time.Time) *sourceState {
	state := m.sources[name]
	if state == nil {
		state = &sourceState{}
		m.sources[name] = state
	}
	state.usedAt = now
	return state
}

// markAlive cancels the takeover from a source, because a message from it arrived.
func (m *TargetMachine) markAlive(name string) {
	m.source(name, m.now).takeOverAt = time.Time{}
}

// enterEpoch discards the source's copies of older epochs. It returns false if epoch
// is older than the newest one, so that the copy must be refused.
func (m *TargetMachine) enterEpoch(name string, epoch uint64) bool {
	state := m.source(name, m.now)
	if epoch > state.epoch {
		state.epoch = epoch
		m.removeCopiesOf(name)
	}
	return epoch == state.epoch
}
