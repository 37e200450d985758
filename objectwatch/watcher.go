// Package objectwatch keeps a copy of all objects of one kind up to date. It lists the objects once, then watches for
// changes, and lists again when the store has compacted the version to watch from.
package objectwatch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/defaults"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
)

// Config configures a Watcher. Zero fields have the defaults below.
type Config struct {
	Kind objectapi.Kind
	// Wait is the longest time that one watch call waits for a change. A connection that no longer delivers is detected
	// shortly after that time.
	Wait time.Duration
	// Backoff is the wait after a failed call. It doubles with each further failure, up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// Defaults of Config.
const (
	DefaultWait       = 1500 * time.Millisecond
	DefaultBackoff    = 100 * time.Millisecond
	DefaultMaxBackoff = 700 * time.Millisecond
)

// Sink receives the objects of a Watcher. All calls come from one goroutine.
type Sink interface {
	// Replace sets all objects, as of a version.
	Replace(objects []objectapi.Object, version objectapi.Version)
	// Apply applies the changes up to a version, oldest first.
	Apply(events []objectapi.WatchEvent, version objectapi.Version)
	// Confirm reports that the copy was complete at most age ago.
	Confirm(age time.Duration)
	// WatchLost reports the first of one or more failed calls in a row. WatchRegained reports the first successful call after
	// them, once Replace or Apply has passed on its result.
	WatchLost(err error)
	WatchRegained()
}

// Watcher passes all objects of one kind and their changes to a Sink.
type Watcher struct {
	lg    *slog.Logger
	cfg   Config
	store objectapi.Store
	sink  Sink

	version objectapi.Version
	listed  bool
	failing bool
	backoff time.Duration
}

// NewWatcher returns a Watcher that makes no call before Run.
func NewWatcher(lg *slog.Logger, cfg Config, store objectapi.Store, sink Sink) *Watcher {
	defaults.Set(&cfg.Wait, DefaultWait)
	defaults.Set(&cfg.Backoff, DefaultBackoff)
	defaults.Set(&cfg.MaxBackoff, DefaultMaxBackoff)
	return &Watcher{lg: lg.With("objects", string(cfg.Kind)), cfg: cfg, store: store, sink: sink, backoff: cfg.Backoff}
}

// Run lists and watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := clock.Now()
		reply, err := w.containedCall(ctx)
		if err != nil {
			w.handleFailure(ctx, err)
			continue
		}
		// The reply has all changes up to the end of the wait, so that it is at most as old as the rest of the call took. A
		// reply from another copy is older by reply.Age.
		w.handleSuccess(max(clock.Now().Sub(start)-reply.Waited, 0) + reply.Age)
	}
}

// containedCall returns a panic in listOrWatch, for example on a malformed object, as an error.
func (w *Watcher) containedCall(ctx context.Context) (reply objectapi.Reply, err error) {
	if panicked := contain.Run(w.lg, "watch objects", func() { reply, err = w.listOrWatch(ctx) }); panicked != nil {
		return objectapi.Reply{}, panicked
	}
	return reply, err
}

// listOrWatch makes one watch call, or the calls of a whole list, and returns the first reply.
func (w *Watcher) listOrWatch(ctx context.Context) (objectapi.Reply, error) {
	if !w.listed {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

// list reads all pages and returns the first one. The watch starts from the version of the first page, so that no change
// between two pages is missed.
func (w *Watcher) list(ctx context.Context) (first objectapi.Reply, err error) {
	var objects []objectapi.Object
	for after := ""; ; {
		reply, err := w.store.Do(ctx, objectapi.Request{Op: objectapi.OpList, Kind: w.cfg.Kind, After: after})
		if err != nil {
			return objectapi.Reply{}, err
		}
		if after == "" {
			first = reply
		}
		objects = append(objects, reply.Objects...)
		if after = reply.Next; after == "" {
			break
		}
	}
	w.lg.Info("objects listed", "count", len(objects), "version", uint64(first.Version), "former_version", uint64(w.version))
	w.version, w.listed = first.Version, true
	w.sink.Replace(objects, first.Version)
	return first, nil
}

// watch makes one watch call. It lists again when the version to watch from is compacted.
func (w *Watcher) watch(ctx context.Context) (objectapi.Reply, error) {
	reply, err := w.store.Do(ctx, objectapi.Request{
		Op: objectapi.OpWatch, Kind: w.cfg.Kind, From: w.version, Wait: w.cfg.Wait,
	})
	if errors.Is(err, objectapi.ErrCompacted) {
		w.lg.Info("version compacted, listing again", "version", uint64(w.version), "reason", err.Error())
		w.listed = false
		return w.list(ctx)
	}
	if err != nil {
		return objectapi.Reply{}, err
	}
	w.version = max(w.version, reply.Version)
	if len(reply.Events) > 0 {
		w.sink.Apply(reply.Events, w.version)
	}
	return reply, nil
}

// handleFailure reports the first failure of a series to the sink and waits before the next call.
func (w *Watcher) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.failing {
		w.failing = true
		w.sink.WatchLost(err)
	}
	wait.For(ctx, w.backoff)
	w.backoff = min(2*w.backoff, w.cfg.MaxBackoff)
}

// handleSuccess reports the end of a series of failures to the sink, resets the backoff and confirms that the copy was
// complete at most age ago.
func (w *Watcher) handleSuccess(age time.Duration) {
	if w.failing {
		w.failing = false
		w.sink.WatchRegained()
	}
	w.backoff = w.cfg.Backoff
	w.sink.Confirm(age)
}
