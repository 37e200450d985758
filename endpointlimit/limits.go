package endpointlimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxProcesses is the number of processes whose limits are kept. Further ones are ignored until others have been removed.
	maxProcesses = 4096
	// retention is how long the statement of a process is kept that has ended its limit or is not listed.
	retention = time.Minute
)

// Limits holds the limits of endpoints by the keys of their processes, and the turns of one instance.
type Limits struct {
	// inForce is the number of limits that have not ended.
	inForce atomic.Int64
	// mu guards the fields below.
	mu     sync.Mutex
	limits map[uint64]*limit
	// share is that of the last SetShare, which was called at sharedAt.
	share    Share
	sharedAt time.Time
	// instances and position are those of share.position.
	instances, position uint64
	// reported is the position of the last call of Records in the limits that take turns.
	reported int
}

// limit is the last statement of one process.
type limit struct {
	perSecond float32
	// ended is set if the process stated a limit before and has none any more.
	ended bool
	// statedAt is the time of the last statement, see Record.Age, changedAt that at which this instance learned of the change to it.
	statedAt, changedAt time.Time
	// takenUntil is a time after the start of the last turn that was taken, in seconds of the fleet's time.
	takenUntil float64
}

// New returns Limits without any limit, for a deployment of one instance.
func New() *Limits {
	return &Limits{limits: make(map[uint64]*limit), share: Share{Instances: 1}, instances: 1}
}

// SetShare replaces the part of the limits that belongs to this instance. What was taken moves with a correction of the
// fleet's time, so that a step neither blocks an endpoint nor frees its turns again. Turns of the new part that began before
// are not used, since those of the former part have been.
func (l *Limits) SetShare(now time.Time, share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.fleetSeconds(now), !l.sharedAt.IsZero()
	changed := share.Instances != l.share.Instances || share.Rank != l.share.Rank
	l.share, l.sharedAt = share, now
	if changed {
		l.instances, l.position = share.position()
	}
	after := l.fleetSeconds(now)
	for _, limit := range l.limits {
		if known {
			limit.takenUntil += after - before
		}
		if changed {
			limit.takenUntil = max(limit.takenUntil, after)
		}
	}
}

// ChangedSince reports whether this instance has learned of a change to the limit of a process after a time.
func (l *Limits) ChangedSince(at time.Time, process uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[process]
	return known != nil && known.changedAt.After(at)
}

// fleetSeconds returns the fleet's time of day in seconds. The caller holds mu.
func (l *Limits) fleetSeconds(now time.Time) float64 {
	if l.sharedAt.IsZero() {
		return float64(now.UnixNano()) / float64(time.Second)
	}
	return float64(l.share.FleetTime.Add(now.Sub(l.sharedAt)).UnixNano()) / float64(time.Second)
}

// Observe takes over a statement of a process in an answer that has been read now, to a request that was sent at sentAt. The
// process wrote it at any time between them: one that lifts or raises a limit counts as old as it can be, any other one as
// young as it can be. It returns the change, if there is one.
func (l *Limits) Observe(now, sentAt time.Time, process uint64, statement Statement) (change Change, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[process]
	if statement.Kind == Invalid || statement.Kind == Absent && known == nil {
		return Change{}, false
	}
	next := limit{perSecond: statement.PerSecond, ended: statement.Kind == Absent, statedAt: now}
	if next.ended || known != nil && !known.ended && next.perSecond > known.perSecond {
		if !sentAt.After(known.statedAt) {
			return Change{}, false
		}
		next.statedAt = sentAt
	}
	return l.set(now, process, next)
}

// Merge takes over what other instances have been told and returns the changes. A limit that is not known here and was stated
// more than retention ago is not taken over, since its end may have been forgotten.
func (l *Limits) Merge(now time.Time, records Records) (changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		known := l.limits[record.Process]
		if known == nil && (record.Ended || record.Age >= retention) || known != nil && !record.supersedes(known.record(now, record.Process)) {
			continue
		}
		next := limit{perSecond: record.PerSecond, ended: record.Ended, statedAt: now.Add(-record.Age)}
		if change, changed := l.set(now, record.Process, next); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// set replaces the last statement of a process. Turns that began before are not used, since the former ones can have been.
// The caller holds mu.
func (l *Limits) set(now time.Time, process uint64, next limit) (change Change, changed bool) {
	known := l.limits[process]
	switch {
	case known == nil && len(l.limits) >= maxProcesses:
		return Change{}, false
	case known != nil && known.ended == next.ended && known.perSecond == next.perSecond:
		known.statedAt = next.statedAt
		return Change{}, false
	case known != nil:
		next.takenUntil = known.takenUntil
	}
	next.changedAt, next.takenUntil = now, max(next.takenUntil, l.fleetSeconds(now))
	l.limits[process] = &next
	l.countInForce()
	return Change{Process: process, PerSecond: next.perSecond, Ended: next.ended}, true
}

// countInForce sets inForce. The caller holds mu.
func (l *Limits) countInForce() {
	n := int64(0)
	for _, known := range l.limits {
		if !known.ended {
			n++
		}
	}
	l.inForce.Store(n)
}

// InForce returns the number of limits that have not ended.
func (l *Limits) InForce() int { return int(l.inForce.Load()) }

func (k *limit) record(now time.Time, process uint64) Record {
	return Record{Process: process, PerSecond: k.perSecond, Ended: k.ended, Age: max(now.Sub(k.statedAt), 0)}
}

// Records returns what this instance knows, at most n records. If it knows more, half of them are those whose change it learned
// last; the others take turns from call to call.
func (l *Limits) Records(now time.Time, n int) Records {
	l.mu.Lock()
	defer l.mu.Unlock()
	processes := make([]uint64, 0, len(l.limits))
	for process := range l.limits {
		processes = append(processes, process)
	}
	slices.SortFunc(processes, func(a, b uint64) int {
		return cmp.Or(l.limits[b].changedAt.Compare(l.limits[a].changedAt), cmp.Compare(a, b))
	})
	if rest := processes[min(n/2, len(processes)):]; len(processes) > n {
		l.reported = (l.reported + n - n/2) % len(rest)
		processes = append(processes[:n/2], slices.Concat(rest[l.reported:], rest[:l.reported])[:n-n/2]...)
	}
	records := make(Records, 0, len(processes))
	for _, process := range processes {
		records = append(records, l.limits[process].record(now, process))
	}
	return records
}

// Wait returns the time until the next turn of this instance at a process, 0 if one is due or the process has no limit.
func (l *Limits) Wait(now time.Time, process uint64) time.Duration {
	if l.InForce() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _, wait := l.next(now, process)
	return wait
}

// Take takes the next turn of this instance at a process and returns the time until it begins, as Wait does.
func (l *Limits) Take(now time.Time, process uint64) time.Duration {
	if l.InForce() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known, takenUntil, wait := l.next(now, process)
	if known != nil {
		known.takenUntil = takenUntil
	}
	return wait
}

// next returns the next turn at a process: its limit, nil if there is none, what its takenUntil becomes, and the time until the
// turn begins. The caller holds mu.
func (l *Limits) next(now time.Time, process uint64) (known *limit, takenUntil float64, wait time.Duration) {
	known = l.limits[process]
	if known == nil || known.ended {
		return nil, 0, 0
	}
	seconds := l.fleetSeconds(now)
	turns := turnsOf(l.instances, l.position, process, known.perSecond)
	if known.takenUntil > seconds+maxAhead.Seconds()+turns.interval {
		known.takenUntil = seconds // the estimated time of day was corrected
	}
	start := turns.next(seconds, known.takenUntil)
	return known, turns.takenUntil(start), time.Duration(max(start-seconds, 0) * float64(time.Second))
}

// Sweep removes the limits of processes that are not listed, and those that have ended, a minute after the last statement.
func (l *Limits) Sweep(now time.Time, listed func(process uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for process, known := range l.limits {
		if now.Sub(known.statedAt) > retention && (known.ended || !listed(process)) {
			delete(l.limits, process)
		}
	}
	l.countInForce()
}
