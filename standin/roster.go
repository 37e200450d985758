package standin

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/roster"
)

// RosterConfig configures a Roster.
type RosterConfig struct {
	// Clock is the time source; default WallClock.
	Clock Clock
	// Lag is the time until a change is visible to readers. Default 2 s; negative means none.
	Lag time.Duration
}

// Roster is a stand-in for the lagging list. It implements roster.List.
type Roster struct {
	*Server
	// Faults holds the active faults; the only operation is "read". FaultLag
	// adds to the lag of a read; a change that was visible once stays visible.
	Faults Faults

	clock Clock
	lag   time.Duration

	mu      sync.Mutex // guards the fields below
	entries map[string]roster.Entry
	pending []rosterChange
}

// rosterChange sets the entry with the id, or removes it when entry is nil.
type rosterChange struct {
	changedAt time.Time
	id        string
	entry     *roster.Entry
}

// NewRoster returns an empty Roster.
func NewRoster(lg *slog.Logger, cfg RosterConfig) *Roster {
	if cfg.Lag == 0 {
		cfg.Lag = 2 * time.Second
	}
	r := &Roster{clock: orWallClock(cfg.Clock), lag: max(0, cfg.Lag), entries: make(map[string]roster.Entry)}
	r.Server = newServer(lg, "roster", r.serveHTTP)
	return r
}

// Set adds or replaces an entry. The change is visible after the lag.
func (r *Roster) Set(entry roster.Entry) {
	r.enqueue(rosterChange{id: entry.ID, entry: &entry})
}

// Remove removes an entry. The change is visible after the lag.
func (r *Roster) Remove(id string) {
	r.enqueue(rosterChange{id: id})
}

func (r *Roster) enqueue(change rosterChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change.changedAt = r.clock.Now()
	r.pending = append(r.pending, change)
}

// ApplyPending makes all pending changes visible immediately.
func (r *Roster) ApplyPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.pending {
		r.apply(change)
	}
	r.pending = nil
}

// Read implements roster.List.
func (r *Roster) Read(ctx context.Context) (roster.Snapshot, error) {
	e := r.Faults.next(Call{Op: "read"})
	if err := e.before(ctx, r.clock, roster.ErrUnavailable, roster.ErrUnavailable); err != nil {
		return roster.Snapshot{}, err
	}
	snapshot := r.snapshotAt(r.clock.Now().Add(-r.lag - e.lag))
	return snapshot, e.after(ctx, nil, roster.ErrUnavailable)
}

func (r *Roster) snapshotAt(at time.Time) roster.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && !r.pending[0].changedAt.After(at) {
		r.apply(r.pending[0])
		r.pending = r.pending[1:]
	}
	snapshot := roster.Snapshot{AtMs: at.UnixMilli()}
	for _, entry := range r.entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	sort.Slice(snapshot.Entries, func(i, j int) bool { return snapshot.Entries[i].ID < snapshot.Entries[j].ID })
	return snapshot
}

func (r *Roster) apply(change rosterChange) {
	if change.entry == nil {
		delete(r.entries, change.id)
		return
	}
	r.entries[change.id] = *change.entry
}

func (r *Roster) serveHTTP(ctx context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/v1/list" || !rc.IsGet() {
		writeProblem(rc, fasthttp.StatusNotFound, "no such call")
		return
	}
	snapshot, err := r.Read(ctx)
	if err != nil {
		writeProblem(rc, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(rc, fasthttp.StatusOK, snapshot)
}
