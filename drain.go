package knapweedhoist

import (
	"context"
	"sync"
	"time"
)

// drain is the state of a stop. It is safe for concurrent use.
type drain struct {
	*drainState
}

type drainState struct {
	// begun is closed when the instance starts to leave.
	begun chan struct{}
	// ctx is cancelled when the instance ends.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex // guards the fields below
	// started reports whether begun is closed.
	started bool
	// releaseAt is when requests are released to the successor, endAt when the
	// instance ends.
	releaseAt, endAt time.Time
	// reclaimed is true for a reclaim notice and false for a planned stop.
	reclaimed bool
}

func newDrain() drain {
	ctx, cancel := context.WithCancel(context.Background())
	return drain{&drainState{begun: make(chan struct{}), ctx: ctx, cancel: cancel}}
}

// begin starts the stop. If a stop has started already, only an earlier end
// replaces its times.
func (d *drainState) begin(releaseAt, endAt time.Time, reclaimed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started && !endAt.Before(d.endAt) {
		return
	}
	d.releaseAt, d.endAt, d.reclaimed = releaseAt, endAt, reclaimed
	if !d.started {
		d.started = true
		close(d.begun)
	}
}

// times returns when requests are released to the successor and when the
// instance ends; both are zero before begin.
func (d *drainState) times() (releaseAt, endAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.releaseAt, d.endAt
}

// remainingNotice returns the time until the end of the reclaim notice, at
// least 1 ms; it is 0 for a planned stop.
func (d *drainState) remainingNotice() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reclaimed {
		return 0
	}
	return max(time.Millisecond, time.Until(d.endAt))
}

// lifetime returns a context that is cancelled when the instance ends.
func (d *drainState) lifetime() context.Context {
	return d.ctx
}

// leaving reports whether the instance has started to leave.
func (d *drainState) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}
