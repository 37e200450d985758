package standin

import (
	"context"
	"time"
)

// Clock is the time source of a stand-in. Implementations must be safe for concurrent use.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has elapsed, and a
	// function that stops the timer.
	After(d time.Duration) (elapsed <-chan time.Time, stop func())
}

// WallClock is the system clock, or the fake clock of the bubble in a synctest test.
var WallClock Clock = wallClock{}

type wallClock struct{}

func (wallClock) Now() time.Time {
	return time.Now()
}

func (wallClock) After(d time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}

func orWallClock(clock Clock) Clock {
	if clock == nil {
		return WallClock
	}
	return clock
}

// sleep waits for d. It returns the cause of ctx if ctx is done first.
func sleep(ctx context.Context, clock Clock, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	elapsed, stop := clock.After(d)
	defer stop()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// runAfter calls run in a goroutine once d has elapsed, unless ctx is done first.
// The timer starts before runAfter returns.
func runAfter(ctx context.Context, clock Clock, d time.Duration, run func()) {
	elapsed, stop := clock.After(d)
	go func() {
		defer stop()
		select {
		case <-elapsed:
			run()
		case <-ctx.Done():
		}
	}()
}
