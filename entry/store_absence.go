package entry

import "time"

// storeAbsence tells an outage of the store from the loss of this instance's own connection. The reports of all instances
// state how old their configuration is; while any instance reaches the store, the lowest of these ages stays under limit.
// It makes no call and reads no clock.
type storeAbsence struct {
	// limit is the age above which no instance is known to reach the store.
	limit time.Duration
	// observedAt is the time of the last observe. lastAwayAt is the last one at which the store was away, and returnedAt the
	// first one after it at which it was not.
	observedAt, lastAwayAt, returnedAt time.Time
}

// observe records the age of the newest confirmed configuration. A process that was paused has seen no reports for a time and
// cannot exclude that the store was away.
func (a *storeAbsence) observe(now time.Time, age time.Duration) {
	paused := !a.observedAt.IsZero() && now.Sub(a.observedAt) > a.limit
	a.observedAt = now
	if age > a.limit {
		a.lastAwayAt, a.returnedAt = now, time.Time{}
		return
	}
	if paused {
		a.lastAwayAt, a.returnedAt = now, now
	}
	if a.returnedAt.IsZero() {
		a.returnedAt = now
	}
}

// awaySince reports whether the store may have been away at some time after t.
func (a *storeAbsence) awaySince(t time.Time) bool { return a.lastAwayAt.After(t) }

// returnTime returns the first time at which the store is known to have been reachable again. now is the time of an answer
// that this instance has received from it.
func (a *storeAbsence) returnTime(now time.Time) time.Time {
	if a.returnedAt.IsZero() {
		return now
	}
	return a.returnedAt
}
