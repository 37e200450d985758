// Package objectwatch keeps a copy of all objects of one kind up to date. It lists the objects once, then watches for
// changes, and lists again when the store has compacted the version to watch from, or has returned from an older copy.
//
// A copy and the watch from its position belong to one era. After a return the store gives versions out again, so that a
// watch from a version of the former era may succeed although it misses changes; only the era tells.
package objectwatch

import (
	"context"
	"errors"
	"fmt"
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
	// Era returns the highest era of the store that this process has seen, and a channel that is closed when it rises. Default:
	// era 0 that never rises, so that only the answers to the Watcher's own calls tell a return.
	Era func() (objectapi.Era, <-chan struct{})
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
	// Replace sets all objects, as of a position.
	Replace(objects []objectapi.Object, position objectapi.Position)
	// Apply applies the changes up to a position, oldest first. Its era is that of the last Replace.
	Apply(events []objectapi.WatchEvent, position objectapi.Position)
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

	// position is that of the copy once listed is set.
	position objectapi.Position
	listed   bool
	failing  bool
	backoff  time.Duration
}

// NewWatcher returns a Watcher that makes no call before Run.
func NewWatcher(lg *slog.Logger, cfg Config, store objectapi.Store, sink Sink) *Watcher {
	defaults.Set(&cfg.Wait, DefaultWait)
	defaults.Set(&cfg.Backoff, DefaultBackoff)
	defaults.Set(&cfg.MaxBackoff, DefaultMaxBackoff)
	if cfg.Era == nil {
		cfg.Era = func() (objectapi.Era, <-chan struct{}) { return 0, nil }
	}
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

// errReturned means that the store returned from an older copy between the pages of a list, or while it was read.
var errReturned = fmt.Errorf("%w: the store returned during a list", objectapi.ErrUnavailable)

// list reads all pages and returns the first one. The watch starts from the version of the first page, so that no change
// between two pages is missed. A list whose pages name an older era than known, or none, counts as one of the known era.
func (w *Watcher) list(ctx context.Context) (first objectapi.Reply, err error) {
	known, _ := w.cfg.Era()
	var objects []objectapi.Object
	position := objectapi.Position{Era: known}
	for after := ""; ; {
		reply, err := w.store.Do(ctx, objectapi.Request{
			Op: objectapi.OpList, Kind: w.cfg.Kind, After: after, From: objectapi.Position{Era: position.Era},
		})
		if err != nil {
			return objectapi.Reply{}, err
		}
		switch {
		case after == "":
			first = reply
			position.Era, position.Version = max(position.Era, reply.Era), reply.Version
		case reply.Era > position.Era:
			return objectapi.Reply{}, errReturned
		}
		objects = append(objects, reply.Objects...)
		if after = reply.Next; after == "" {
			break
		}
	}
	if known, _ = w.cfg.Era(); known > position.Era {
		return objectapi.Reply{}, errReturned
	}
	w.lg.Info("objects listed", "count", len(objects), "version", uint64(position.Version), "era", uint64(position.Era),
		"former_version", uint64(w.position.Version), "former_era", uint64(w.position.Era))
	w.position, w.listed = position, true
	w.sink.Replace(objects, position)
	return first, nil
}

// watch makes one watch call. It lists again when the version to watch from is compacted, or when the store has returned
// from an older copy.
func (w *Watcher) watch(ctx context.Context) (objectapi.Reply, error) {
	callCtx, cancel := w.untilRise(ctx)
	reply, err := w.store.Do(callCtx, objectapi.Request{
		Op: objectapi.OpWatch, Kind: w.cfg.Kind, From: w.position, Wait: w.cfg.Wait,
	})
	cancel()
	known, _ := w.cfg.Era()
	if era := max(known, reply.Era); era > w.position.Era {
		w.lg.Info("store returned, listing again", "era", uint64(era), "former_era", uint64(w.position.Era), "version", uint64(w.position.Version))
		w.listed = false
		return w.list(ctx)
	}
	if errors.Is(err, objectapi.ErrCompacted) {
		w.lg.Info("version compacted, listing again", "version", uint64(w.position.Version), "reason", err.Error())
		w.listed = false
		return w.list(ctx)
	}
	if err != nil {
		return objectapi.Reply{}, err
	}
	w.position.Version = max(w.position.Version, reply.Version)
	if len(reply.Events) > 0 {
		w.sink.Apply(reply.Events, w.position)
	}
	return reply, nil
}

// untilRise returns a context that ends when this process sees a higher era than that of the copy. A watch of the former era need
// not end otherwise.
func (w *Watcher) untilRise(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	own := w.position.Era
	era, risen := w.cfg.Era()
	go func() {
		// The era may rise to that of the copy, which a relay has told before.
		for era <= own {
			select {
			case <-risen:
				era, risen = w.cfg.Era()
			case <-ctx.Done():
				return
			}
		}
		cancel()
	}()
	return ctx, cancel
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
