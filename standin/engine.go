package standin

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"knapweedhoist/engine"
)

// Engine is a stand-in for a model engine with continuous batching. It
// implements engine.Engine. A closed engine cannot be restarted.
type Engine struct {
	*Server
	// Faults holds the active faults. The operations are "stream", "cancel",
	// "export", "import", "load", "cache_events", "order" and, for FaultGap, "cache_event".
	Faults Faults

	cfg            EngineConfig
	lifetime       context.Context
	cancelLifetime context.CancelFunc

	mu           sync.Mutex // guards the fields below
	batch        *batch
	stepping     bool
	slowdown     float64
	arrivalCount uint64
	active       map[attemptKey]*sequence
	attempts     []*Attempt
	cache        *prefixCache
	events       cacheLog
	load         loadHistory
	kv           kvStore
	exportCount  uint64
	orders       []engine.Order
	highestFence uint64
	models       []string
	leaving      bool
	lateArrivals lateArrivals
	closed       bool
}

type attemptKey struct {
	id     string
	number int
}

// NewEngine returns an idle engine.
func NewEngine(lg *slog.Logger, cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg: cfg, batch: &batch{cfg: cfg}, slowdown: 1, active: make(map[attemptKey]*sequence), models: cfg.Models,
	}
	e.lifetime, e.cancelLifetime = context.WithCancel(context.Background())
	e.cache = newPrefixCache(cfg.CacheTokens, e.recordCacheEvent)
	e.Server = newServer(lg, "engine", e.serveHTTP)
	return e
}

// recordCacheEvent adds an event to the cache log, unless FaultGap drops it. The caller holds e.mu.
func (e *Engine) recordCacheEvent(prefix engine.Prefix, evicted bool) {
	lost := e.Faults.next(Call{Op: "cache_event"}).dropEvent
	event := engine.CacheEvent{Prefix: prefix.Hash, Tokens: prefix.Tokens, Evicted: evicted}
	e.events.add(e.cfg.Clock.Now(), event, lost)
}

// recordLoad adds the current load to the load history. The caller holds e.mu.
func (e *Engine) recordLoad() {
	prefill, decode := e.batch.remainingTokens()
	e.load.add(e.cfg.Clock.Now(), engine.LoadReport{
		Running: len(e.batch.running), Queued: len(e.batch.queue),
		PrefillTokens: prefill, DecodeTokens: decode, Leaving: e.leaving,
	})
}

// SetSlowdown multiplies the duration of each step by factor, to simulate a noisy neighbour.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Leave simulates a reclaim notice: the engine refuses new requests from now on
// and is closed after notice.
func (e *Engine) Leave(notice time.Duration) {
	e.startDrain()
	runAfter(e.lifetime, e.cfg.Clock, notice, func() { _ = e.Close() })
}

func (e *Engine) startDrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startDrainLocked()
}

// startDrainLocked makes the engine refuse new requests. The caller holds e.mu.
func (e *Engine) startDrainLocked() {
	e.leaving = true
	e.lateArrivals.setNotice(e.cfg.Clock.Now())
	e.recordLoad()
}

// LateArrivals returns the number of requests that arrived, and were refused,
// more than grace after the engine started to drain.
func (e *Engine) LateArrivals(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lateArrivals.countAfter(grace)
}

// Close stops the engine at once: streams break and connections close.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	for _, s := range e.active {
		s.end(sequenceBroken)
	}
	e.mu.Unlock()
	e.cancelLifetime()
	return e.Server.Close()
}

// Attempts returns the records of the attempts, oldest first.
func (e *Engine) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]Attempt, len(e.attempts))
	for _, s := range e.active {
		s.updateRecord()
	}
	for i, record := range e.attempts {
		records[i] = *record
	}
	return records
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// beforeCall applies the faults that take effect before a call. If it returns an
// error, the call must not run: engine.ErrUnreachable when the engine is closed,
// otherwise the error of the fault.
func (e *Engine) beforeCall(ctx context.Context, call Call) (effect, error) {
	if e.lifetime.Err() != nil {
		return effect{}, engine.ErrUnreachable
	}
	fault := e.Faults.next(call)
	refused := &engine.RefusedError{RetryAfter: fault.retryAfter, Reason: "scripted"}
	return fault, fault.before(ctx, e.cfg.Clock, engine.ErrBroken, refused)
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, id string, attempt int) error {
	fault, err := e.beforeCall(ctx, Call{Op: "cancel", Name: id, Attempt: attempt})
	if err != nil {
		return err
	}
	return fault.after(ctx, e.cancel(attemptKey{id: id, number: attempt}), engine.ErrBroken)
}

func (e *Engine) cancel(key attemptKey) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.active[key]
	if !ok {
		return engine.ErrNotFound
	}
	s.end(sequenceCancelled)
	return nil
}

// Load implements engine.Engine. The report is the load at LoadLag before now.
func (e *Engine) Load(ctx context.Context) (engine.LoadReport, error) {
	fault, err := e.beforeCall(ctx, Call{Op: "load"})
	if err != nil {
		return engine.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.load.reportAt(e.cfg.Clock.Now().Add(-e.cfg.LoadLag - fault.lag))
	return report, fault.after(ctx, nil, engine.ErrBroken)
}

// CacheEvents implements engine.Engine. An event is returned only once it is at least CacheEventLag old.
func (e *Engine) CacheEvents(ctx context.Context, from uint64) ([]engine.CacheEvent, error) {
	fault, err := e.beforeCall(ctx, Call{Op: "cache_events"})
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.events.after(from, e.cfg.Clock.Now().Add(-e.cfg.CacheEventLag-fault.lag))
	return events, fault.after(ctx, nil, engine.ErrBroken)
}

// Order implements engine.Engine.
func (e *Engine) Order(ctx context.Context, order engine.Order) error {
	fault, err := e.beforeCall(ctx, Call{Op: "order", Name: order.Name})
	if err != nil {
		return err
	}
	return fault.after(ctx, e.applyOrder(order), engine.ErrBroken)
}

func (e *Engine) applyOrder(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && order.Fence < e.highestFence {
		return fmt.Errorf("%w: %d after %d", engine.ErrStaleFence, order.Fence, e.highestFence)
	}
	e.highestFence = max(e.highestFence, order.Fence)
	e.orders = append(e.orders, order)
	switch order.Kind {
	case engine.OrderDrain:
		e.startDrainLocked()
	case engine.OrderLoadModel:
		e.loadModel(order.Name)
	}
	return nil
}

// loadModel adds a model to the served ones. An engine with no configured models already serves any model.
func (e *Engine) loadModel(name string) {
	if len(e.models) > 0 && !slices.Contains(e.models, name) {
		e.models = append(slices.Clone(e.models), name)
	}
}
