package endpointlimit

import (
	"sync"
	"time"
)

// Limits holds the limits of endpoints by the keys of their processes.
type Limits struct {
	// mu guards the fields below.
	mu     sync.Mutex
	limits map[uint64]*limit
}

// limit is the last statement of one process.
type limit struct {
	perSecond float64
	// ended is set if the process stated a limit before and has none any more.
	ended bool
	// statedAt is the time of the last statement, changedAt that of the first one with this content.
	statedAt, changedAt time.Time
}

// New returns Limits without any limit.
func New() *Limits { return &Limits{limits: make(map[uint64]*limit)} }

// Observe takes over a statement of a process, which is newer than all earlier ones. It returns the change, if there is one.
func (l *Limits) Observe(now time.Time, process uint64, statement Statement) (change Change, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[process]
	if statement.Kind == Invalid || known == nil && statement.Kind == Absent {
		return Change{}, false
	}
	return l.set(now, process, limit{perSecond: statement.PerSecond, ended: statement.Kind == Absent, statedAt: now})
}

// set replaces the last statement of a process. The caller holds mu.
func (l *Limits) set(now time.Time, process uint64, next limit) (change Change, changed bool) {
	known := l.limits[process]
	if known != nil && known.ended == next.ended && known.perSecond == next.perSecond {
		known.statedAt = next.statedAt
		return Change{}, false
	}
	next.changedAt = now
	l.limits[process] = &next
	return Change{Process: process, PerSecond: next.perSecond, Ended: next.ended}, true
}

// InForce returns the number of limits that have not ended.
func (l *Limits) InForce() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, known := range l.limits {
		if !known.ended {
			n++
		}
	}
	return n
}
