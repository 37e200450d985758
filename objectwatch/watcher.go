// Package objectwatch keeps a copy of all objects of one kind up to date: it
// lists them once, then watches for changes, and lists again when the store no
// longer has the history.
package objectwatch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/internal/defaults"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
)

// Config describes one watch.
type Config struct {
	Kind objectapi.Kind
	// Wait is the longest time that one watch call waits for a change. A
	// connection that has gone silent is noticed shortly after that time.
	Wait time.Duration
	// Pause is the first pause after a failed call; it doubles up to MaxPause.
	Pause, MaxPause time.Duration
}

// Defaults of Config.
const (
	DefaultWait     = 1500 * time.Millisecond
	DefaultPause    = 100 * time.Millisecond
	DefaultMaxPause = 800 * time.Millisecond
)

// Sink receives the objects. All calls come from one goroutine.
type Sink interface {
	// Replace gives all objects, as of a version.
	Replace(objects []objectapi.Object, version objectapi.Version)
	// Change gives the changes up to a version, oldest first.
	Change(events []objectapi.WatchEvent, version objectapi.Version)
	// Current tells that the copy was complete at most age ago.
	Current(age time.Duration)
	// Lost tells that the store no longer answers, Regained that it does again.
	Lost(err error)
	Regained()
}

// Watcher keeps one kind up to date.
type Watcher struct {
	lg    *slog.Logger
	cfg   Config
	store objectapi.Store
	sink  Sink

	version objectapi.Version
	listed  bool
	failing bool
	pause   time.Duration
}

// NewWatcher returns a Watcher that makes no call before Run.
func NewWatcher(lg *slog.Logger, cfg Config, store objectapi.Store, sink Sink) *Watcher {
	defaults.Set(&cfg.Wait, DefaultWait)
	defaults.Set(&cfg.Pause, DefaultPause)
	defaults.Set(&cfg.MaxPause, DefaultMaxPause)
	return &Watcher{lg: lg.With("objects", string(cfg.Kind)), cfg: cfg, store: store, sink: sink, pause: cfg.Pause}
}

// Run lists and watches until the end of ctx.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asked := clock.Now()
		answered, err := w.step(ctx)
		if err != nil {
			w.fail(ctx, err)
			continue
		}
		// What was answered was true at the end of the wait at the earliest, and at the time of the copy that answered.
		w.succeed(max(clock.Now().Sub(asked)-answered.Waited, 0) + answered.Age)
	}
}

// step makes the next call, or those of a whole list, and returns the first answer.
func (w *Watcher) step(ctx context.Context) (objectapi.Reply, error) {
	if !w.listed {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

// list reads all pages. The watch continues from the version of the first
// page, so that no change between two pages is missed.
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
	w.version, w.listed = first.Version, true
	w.sink.Replace(objects, first.Version)
	return first, nil
}

func (w *Watcher) watch(ctx context.Context) (objectapi.Reply, error) {
	reply, err := w.store.Do(ctx, objectapi.Request{
		Op: objectapi.OpWatch, Kind: w.cfg.Kind, From: w.version, Wait: w.cfg.Wait,
	})
	if errors.Is(err, objectapi.ErrCompacted) {
		w.lg.Info("history is gone, listing again", "version", uint64(w.version))
		w.listed = false
		return w.list(ctx)
	}
	if err != nil {
		return objectapi.Reply{}, err
	}
	w.version = max(w.version, reply.Version)
	if len(reply.Events) > 0 {
		w.sink.Change(reply.Events, w.version)
	}
	return reply, nil
}

func (w *Watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.failing {
		w.failing = true
		w.sink.Lost(err)
	}
	wait.For(ctx, w.pause)
	w.pause = min(2*w.pause, w.cfg.MaxPause)
}

func (w *Watcher) succeed(age time.Duration) {
	if w.failing {
		w.failing = false
		w.sink.Regained()
	}
	w.pause = w.cfg.Pause
	w.sink.Current(age)
}
