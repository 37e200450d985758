package handover

import "time"

// homeKept is how long a leaving home without copies is remembered. It is
// longer than any handover.
const homeKept = 10 * time.Minute

// homeState is what is known of a leaving home.
type homeState struct {
	// epoch is the newest choice of this instance as peer.
	epoch uint64
	// announced: successor is what the home named last, "" for none.
	announced bool
	successor string
	// deadAt is when the home is taken for dead because its session broke, zero otherwise.
	deadAt time.Time
	at     time.Time
}

// home returns the state of a home.
func (r *Receiver) home(name string, now time.Time) *homeState {
	state := r.homes[name]
	if state == nil {
		state = &homeState{}
		r.homes[name] = state
	}
	state.at = now
	return state
}

// heard notes that a home lives.
func (r *Receiver) heard(name string) {
	r.home(name, r.now).deadAt = time.Time{}
}

// enterEpoch drops copies of older epochs. It returns false for a copy that is
// older than what is held.
func (r *Receiver) enterEpoch(name string, epoch uint64) bool {
	state := r.home(name, r.now)
	if epoch > state.epoch {
		state.epoch = epoch
		r.forgetHome(name)
	}
	return epoch == state.epoch
}
