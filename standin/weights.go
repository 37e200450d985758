package standin

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"knapweedhoist/weights"
)

// WeightsConfig describes a weight store.
type WeightsConfig struct {
	// Clock is the time; default WallClock.
	Clock Clock
	// PerSecond limits the calls, with a burst of one second's worth. Default 5.
	PerSecond int
	// Items are the weights in the store.
	Items []weights.Descriptor
}

// WeightsStats counts the calls of a weight store.
type WeightsStats struct {
	Served int64
	// Throttled are calls over the rate.
	Throttled int64
}

// Weights is a stand-in for the weight store. It implements weights.Store.
type Weights struct {
	*Server
	// Faults are the faults in force; the only operation is "get".
	Faults Faults

	clock Clock
	items map[string]weights.Descriptor

	mu    sync.Mutex // guards the fields below
	meter *meter
	stats WeightsStats
}

// NewWeights returns a weight store.
func NewWeights(lg *slog.Logger, cfg WeightsConfig) *Weights {
	w := &Weights{
		clock: orWallClock(cfg.Clock), items: make(map[string]weights.Descriptor),
		meter: newMeter(orDefault(cfg.PerSecond, 5)),
	}
	for _, item := range cfg.Items {
		w.items[item.Name] = item
	}
	w.Server = newServer(lg, "weights", w.serveHTTP)
	return w
}

// Get implements weights.Store.
func (w *Weights) Get(ctx context.Context, name string) (weights.Descriptor, error) {
	e := w.Faults.next(Call{Op: "get", Name: name})
	refused := &weights.ThrottledError{RetryAfter: e.retryAfter}
	if err := e.before(ctx, w.clock, weights.ErrUnavailable, refused); err != nil {
		return weights.Descriptor{}, err
	}
	item, err := w.get(name)
	return item, e.after(ctx, err, weights.ErrUnavailable)
}

func (w *Weights) get(name string) (weights.Descriptor, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if after, ok := w.meter.take(w.clock.Now()); !ok {
		w.stats.Throttled++
		return weights.Descriptor{}, &weights.ThrottledError{RetryAfter: after}
	}
	w.stats.Served++
	item, ok := w.items[name]
	if !ok {
		return weights.Descriptor{}, weights.ErrNotFound
	}
	return item, nil
}

// Stats returns the counts so far.
func (w *Weights) Stats() WeightsStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

func (w *Weights) serveHTTP(ctx context.Context, rc *fasthttp.RequestCtx) {
	raw, ok := strings.CutPrefix(string(rc.Request.Header.RequestURI()), "/v1/weights/")
	name, err := url.PathUnescape(raw)
	if !ok || err != nil || !rc.IsGet() {
		writeProblem(rc, fasthttp.StatusNotFound, "no such call")
		return
	}
	item, err := w.Get(ctx, name)
	var throttled *weights.ThrottledError
	switch {
	case err == nil:
		writeJSON(rc, fasthttp.StatusOK, item)
	case errors.As(err, &throttled):
		writeRetry(rc, throttled.RetryAfter, err.Error())
	case errors.Is(err, weights.ErrNotFound):
		writeProblem(rc, fasthttp.StatusNotFound, err.Error())
	default:
		writeProblem(rc, fasthttp.StatusServiceUnavailable, err.Error())
	}
}
