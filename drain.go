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
	// begun is closed when the instance starts to leave, ended when it must end.
	begun chan struct{}
	ctx   context.Context
	end   context.CancelFunc

	mu sync.Mutex // guards the fields below
	// started tells that begun is closed. releaseAt and endAt are the times of the handover.
	started          bool
	releaseAt, endAt time.Time
	reclaimed        bool
}

func newDrain() drain {
	ctx, cancel := context.WithCancel(context.Background())
	return drain{&drainState{begun: make(chan struct{}), ctx: ctx, end: cancel}}
}

// begin starts the stop, or shortens one that has started.
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

// times returns when requests are released and when the instance ends.
func (d *drainState) times() (releaseAt, endAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.releaseAt, d.endAt
}

// left returns the time of a reclaim notice that is left; 0 for a planned stop.
func (d *drainState) left() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reclaimed {
		return 0
	}
	return max(time.Millisecond, time.Until(d.endAt))
}

// alive returns a context that ends with the instance.
func (d *drainState) alive() context.Context {
	return d.ctx
}

// leaving reports whether the instance has started to leave.
func (d *drainState) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}
