package request

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/invariant"
)

// Registry holds the requests of an instance: those in progress, and finished
// ones for at most Config.Retention after their finish. It is safe for concurrent use.
// An entry's lock is taken before the registry's, never the other way round.
type Registry struct {
	incarnation string
	cfg         Config
	checker     invariant.Checker
	sequence    atomic.Uint64 // the sequence number of the last new id
	bytes       atomic.Int64  // the sum of Entry.bytes over the entries
	generated   atomic.Int64  // the sum of Entry.generated over the entries

	mu         sync.Mutex // guards the fields below
	entries    map[ID]*Entry
	inProgress int
	// finishedEntries are the finished requests in the order of their finish.
	finishedEntries []finishedEntry
	// idle is closed while no request is in progress.
	idle chan struct{}
}

// finishedEntry is a finished request and the time of its finish.
type finishedEntry struct {
	entry      *Entry
	finishedAt time.Time
}

// NewRegistry returns an empty registry for the instance with the given
// incarnation, a ULID. checker receives violations of the package's invariants.
func NewRegistry(incarnation string, checker invariant.Checker, cfg Config) *Registry {
	idle := make(chan struct{})
	close(idle)
	return &Registry{
		incarnation: incarnation, cfg: cfg.withDefaults(), checker: checker,
		entries: make(map[ID]*Entry), idle: idle,
	}
}

// NewID returns the next id of this instance.
func (r *Registry) NewID() ID {
	return ID{Incarnation: r.incarnation, Sequence: r.sequence.Add(1)}
}

// Create registers a received request. It returns ErrFull over a limit of
// Config, and ErrExists if the id is registered already.
func (r *Registry) Create(now time.Time, spec Spec) (*Entry, error) {
	return r.register(now, NewMachine(spec, r.checker), true)
}

// register adds a request. It refuses one over the limits of Config only if
// enforceLimits is set.
func (r *Registry) register(now time.Time, machine *Machine, enforceLimits bool) (*Entry, error) {
	entry := newEntry(r, machine)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if _, found := r.entries[machine.spec.ID]; found {
		return nil, ErrExists
	}
	r.evictFinished(int64(entry.bytes))
	if enforceLimits && r.exceedsLimits(entry.bytes) {
		return nil, ErrFull
	}
	r.entries[machine.spec.ID] = entry
	r.bytes.Add(int64(entry.bytes))
	if r.inProgress == 0 {
		r.idle = make(chan struct{})
	}
	r.inProgress++
	return entry, nil
}

// exceedsLimits reports whether another request of the given size in bytes would
// exceed a limit of Config. The caller holds mu.
func (r *Registry) exceedsLimits(size int) bool {
	return r.inProgress >= r.cfg.MaxInProgress || r.bytes.Load()+int64(size) > r.cfg.MaxBytes
}

// Find returns a request of the given team. It returns ErrNotFound for an
// unknown id and ErrForbidden for a request of another team.
func (r *Registry) Find(id ID, team string) (*Entry, error) {
	r.mu.Lock()
	entry, found := r.entries[id]
	r.mu.Unlock()
	if !found {
		return nil, ErrNotFound
	}
	if entry.spec.Team != team {
		return nil, ErrForbidden
	}
	return entry, nil
}

// Lookup returns a request of any team. It is for internal callers, which act for
// no team.
func (r *Registry) Lookup(id ID) (*Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.entries[id]
	return entry, found
}

// InProgress returns the requests that are neither finished nor moved, ordered by
// id.
func (r *Registry) InProgress() []*Entry {
	return r.inState(StateReceived, StateAdmitted)
}

// Readable returns the admitted requests and the finished ones that callers can
// still re-attach to, ordered by id. The retention of a finished request starts
// again with each handover, so a finished request is returned only until
// Config.Retention after its deadline.
func (r *Registry) Readable(now time.Time) []*Entry {
	return slices.DeleteFunc(r.inState(StateAdmitted, StateFinished), func(e *Entry) bool {
		return e.State() == StateFinished && now.After(e.spec.Deadline.Add(r.cfg.Retention))
	})
}

// inState returns the requests in one of the given states, ordered by id.
func (r *Registry) inState(states ...State) []*Entry {
	r.mu.Lock()
	all := make([]*Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		all = append(all, entry)
	}
	r.mu.Unlock()
	entries := all[:0]
	for _, entry := range all {
		if slices.Contains(states, entry.State()) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return a.spec.ID.Compare(b.spec.ID) })
	return entries
}

// Idle returns a channel that is closed once no request is in progress.
func (r *Registry) Idle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idle
}

// Counts returns the number of requests in progress, the number of finished ones,
// and the memory of all bodies and answers in bytes.
func (r *Registry) Counts() (inProgress, finished int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inProgress, len(r.finishedEntries), r.bytes.Load()
}

// Sweep removes the requests that finished at least Config.Retention ago.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
}

// sweep is Sweep for callers that hold mu.
func (r *Registry) sweep(now time.Time) {
	for len(r.finishedEntries) > 0 && now.Sub(r.finishedEntries[0].finishedAt) >= r.cfg.Retention {
		r.evictOldest()
	}
}

// evictFinished removes the oldest finished requests, even before
// Config.Retention has passed, while there are more than maxFinished or an
// additional extraBytes would exceed Config.MaxBytes: requests in progress have
// priority. The caller holds mu.
func (r *Registry) evictFinished(extraBytes int64) {
	for len(r.finishedEntries) > 0 && (r.bytes.Load()+extraBytes > r.cfg.MaxBytes || len(r.finishedEntries) > r.maxFinished()) {
		r.evictOldest()
	}
}

// evictOverLimit removes finished requests while Config.MaxBytes is exceeded.
func (r *Registry) evictOverLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictFinished(0)
}

// maxFinished returns the maximum number of finished requests, which is the
// maximum number of requests in progress.
func (r *Registry) maxFinished() int {
	return r.cfg.MaxInProgress
}

func (r *Registry) evictOldest() {
	entry := r.finishedEntries[0].entry
	r.finishedEntries[0] = finishedEntry{}
	r.finishedEntries = r.finishedEntries[1:]
	r.remove(entry)
}

func (r *Registry) remove(entry *Entry) {
	delete(r.entries, entry.spec.ID)
	r.bytes.Add(-int64(entry.bytes))
}

// A request's tokens leave headroomFactor times their size free, or the limit divided by headroomFraction if that is less; up to
// freeBytes are always accepted. So requests whose tokens have no end fail before the others.
const (
	freeBytes        = 16 << 10
	headroomFactor   = 8
	headroomFraction = 4
)

// fits reports whether a request in progress may have tokens of the given size in bytes.
func (r *Registry) fits(size int) bool {
	headroom := min(headroomFactor*int64(size), r.cfg.MaxBytes/headroomFraction)
	return size <= freeBytes || r.generated.Load()+headroom <= r.cfg.MaxBytes
}

// endGenerated stops counting the tokens of an entry as those of a request in progress. The caller holds the entry's lock.
func (r *Registry) endGenerated(entry *Entry) {
	r.generated.Add(-int64(entry.generated))
	entry.generated = 0
}

// markFinished keeps a finished entry readable for Config.Retention. The caller
// holds the entry's lock.
func (r *Registry) markFinished(entry *Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endGenerated(entry)
	r.finishedEntries = append(r.finishedEntries, finishedEntry{entry: entry, finishedAt: now})
	r.decrementInProgress()
}

// markMoved removes an entry that a peer owns. The caller holds the entry's lock.
func (r *Registry) markMoved(entry *Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endGenerated(entry)
	r.remove(entry)
	r.decrementInProgress()
}

// decrementInProgress counts the end of a request and closes idle after the last
// one. The caller holds mu.
func (r *Registry) decrementInProgress() {
	r.inProgress--
	if r.inProgress == 0 {
		close(r.idle)
	}
}
