package request

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/invariant"
)

// Registry holds the requests of an instance: those in progress, and finished
// ones for Config.Keep. It is safe for concurrent use. An entry's lock is taken
// before the registry's, never the other way round.
type Registry struct {
	incarnation string
	cfg         Config
	check       invariant.Checker
	sequence    atomic.Uint64
	bytes       atomic.Int64

	mu         sync.Mutex // guards the fields below
	entries    map[ID]*Entry
	inProgress int
	// done are finished and moved entries, oldest first.
	done []doneEntry
	// idle is closed while no request is in progress.
	idle chan struct{}
}

type doneEntry struct {
	entry *Entry
	at    time.Time
}

// NewRegistry returns an empty registry of the instance with this incarnation.
func NewRegistry(incarnation string, check invariant.Checker, cfg Config) *Registry {
	idle := make(chan struct{})
	close(idle)
	return &Registry{
		incarnation: incarnation, cfg: cfg.withDefaults(), check: check,
		entries: make(map[ID]*Entry), idle: idle,
	}
}

// NewID returns the next id of this instance.
func (r *Registry) NewID() ID {
	return ID{Incarnation: r.incarnation, Sequence: r.sequence.Add(1)}
}

// Create registers a received request. It returns ErrFull at the limits.
func (r *Registry) Create(now time.Time, spec Spec) (*Entry, error) {
	return r.add(now, NewMachine(spec, r.check), true)
}

func (r *Registry) add(now time.Time, machine *Machine, bounded bool) (*Entry, error) {
	entry := newEntry(r, machine)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if _, found := r.entries[machine.spec.ID]; found {
		return nil, ErrExists
	}
	r.makeRoom(int64(entry.bytes))
	if bounded && r.full(entry.bytes) {
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

func (r *Registry) full(need int) bool {
	return r.inProgress >= r.cfg.MaxInProgress || r.bytes.Load()+int64(need) > r.cfg.MaxBytes
}

// Find returns a request of the team.
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

// Lookup returns a request without a team check, for the system's own use.
func (r *Registry) Lookup(id ID) (*Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.entries[id]
	return entry, found
}

// InProgress returns the requests that are neither finished nor moved, in the
// order of their ids.
func (r *Registry) InProgress() []*Entry {
	return r.inState(StateReceived, StateAdmitted)
}

// Readable returns the admitted requests and the finished ones that callers can
// still re-attach to, in the order of their ids. A finished request that was
// handed over more than once is kept anew each time; the end of its deadline
// bounds this.
func (r *Registry) Readable(now time.Time) []*Entry {
	return slices.DeleteFunc(r.inState(StateAdmitted, StateFinished), func(e *Entry) bool {
		return e.State() == StateFinished && now.After(e.spec.Deadline.Add(r.cfg.Keep))
	})
}

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

// Idle returns a channel that is closed when no request is in progress.
func (r *Registry) Idle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idle
}

// Counts returns the requests in progress, the finished ones, and the memory
// of all bodies and answers in bytes.
func (r *Registry) Counts() (inProgress, finished int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inProgress, len(r.done), r.bytes.Load()
}

// Sweep forgets finished requests whose time is over.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
}

func (r *Registry) sweep(now time.Time) {
	for len(r.done) > 0 && now.Sub(r.done[0].at) >= r.cfg.Keep {
		r.forgetOldest()
	}
}

// makeRoom forgets finished requests early, since requests in progress come first.
func (r *Registry) makeRoom(need int64) {
	for len(r.done) > 0 && (r.bytes.Load()+need > r.cfg.MaxBytes || len(r.done) > r.maxDone()) {
		r.forgetOldest()
	}
}

// shrink forgets finished requests while the memory limit is exceeded.
func (r *Registry) shrink() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeRoom(0)
}

// maxDone bounds finished requests to as many as may be in progress.
func (r *Registry) maxDone() int {
	return r.cfg.MaxInProgress
}

func (r *Registry) forgetOldest() {
	entry := r.done[0].entry
	r.done[0] = doneEntry{}
	r.done = r.done[1:]
	r.drop(entry)
}

func (r *Registry) drop(entry *Entry) {
	delete(r.entries, entry.spec.ID)
	r.bytes.Add(-int64(entry.bytes))
}

// finished keeps a finished entry readable. The caller holds the entry's lock.
func (r *Registry) finished(entry *Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = append(r.done, doneEntry{entry: entry, at: now})
	r.ended()
}

// moved forgets an entry that a peer owns. The caller holds the entry's lock.
func (r *Registry) moved(entry *Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(entry)
	r.ended()
}

func (r *Registry) ended() {
	r.inProgress--
	if r.inProgress == 0 {
		close(r.idle)
	}
}
