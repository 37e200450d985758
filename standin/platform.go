package standin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/objectapi"
)

// Platform is a stand-in for the object API. It implements objectapi.Store.
type Platform struct {
	*Server
	// Faults holds the active faults; the operations are "get", "put", "delete", "list" and "watch".
	Faults Faults

	cfg PlatformConfig

	mu            sync.Mutex // guards the fields below
	reads, writes *rateLimiter
	objects       *objects
	stats         PlatformStats
}

// NewPlatform returns a Platform without objects.
func NewPlatform(lg *slog.Logger, cfg PlatformConfig) *Platform {
	cfg = cfg.withDefaults()
	p := &Platform{
		cfg:     cfg,
		reads:   newRateLimiter(cfg.ReadsPerSecond),
		writes:  newRateLimiter(cfg.WritesPerSecond),
		objects: newObjects(cfg.History, cfg.PageObjects),
	}
	p.Server = newServer(lg, "platform", func(ctx context.Context, rc *fasthttp.RequestCtx) {
		cfg.HTTP(ctx, rc, p)
	})
	return p
}

// Do implements objectapi.Store.
func (p *Platform) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	if err := request.Validate(); err != nil {
		return objectapi.Reply{}, err
	}
	e := p.Faults.next(Call{Op: request.Op.String(), Name: request.Name, Body: request.Value})
	e.delay += p.cfg.Latency
	refused := &objectapi.ThrottledError{RetryAfter: e.retryAfter}
	if err := e.before(ctx, p.cfg.Clock, objectapi.ErrUnavailable, refused); err != nil {
		return objectapi.Reply{Era: p.Era()}, err
	}
	if e.writeDelay > 0 {
		runAfter(context.WithoutCancel(ctx), p.cfg.Clock, e.writeDelay, func() { _, _ = p.execute(context.Background(), request) })
		closeConn(ctx)
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	reply, err := p.execute(ctx, request)
	if err := e.after(ctx, err, objectapi.ErrUnavailable); err != nil {
		return conflictOnly(reply, err), err
	}
	return reply, nil
}

// Apply executes a call other than a watch without faults, latency or rate limits. Tests use it to write objects as a
// program other than an entry instance does.
func (p *Platform) Apply(request objectapi.Request) (objectapi.Reply, error) {
	if err := request.Validate(); err != nil {
		return objectapi.Reply{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects.execute(p.cfg.Clock.Now(), request)
}

// Restore returns to the copy of the given age: later changes are taken back and their versions given out again. The era
// rises by one.
func (p *Platform) Restore(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects.restore(p.cfg.Clock.Now().Add(-age))
}

// Era returns the era of the history, which is the number of calls of Restore.
func (p *Platform) Era() objectapi.Era {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects.era
}

// conflictOnly clears the reply of a failed call except for its era, and with
// ErrConflict the current object.
func conflictOnly(reply objectapi.Reply, err error) objectapi.Reply {
	if err == objectapi.ErrConflict { //nolint:errorlint // run returns the sentinel itself
		return reply
	}
	return objectapi.Reply{Era: reply.Era}
}

func (p *Platform) execute(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	p.mu.Lock()
	if err := p.chargeRate(request.Op); err != nil {
		p.mu.Unlock()
		return objectapi.Reply{Era: p.Era()}, err
	}
	if request.Op == objectapi.OpWatch {
		p.mu.Unlock()
		return p.watch(ctx, request)
	}
	defer p.mu.Unlock()
	reply, err := p.objects.execute(p.cfg.Clock.Now(), request)
	if err == objectapi.ErrConflict { //nolint:errorlint // objects return the sentinel itself
		p.stats.Conflicts++
	}
	reply.Version, reply.Era = p.objects.version, p.objects.era
	return reply, err
}

// chargeRate charges a call to its rate limit and counts it, or returns a ThrottledError when the limit is exceeded.
// The caller holds p.mu.
func (p *Platform) chargeRate(op objectapi.Op) error {
	limit := p.reads
	if op == objectapi.OpPut || op == objectapi.OpDelete {
		limit = p.writes
	}
	if after, ok := limit.allow(p.cfg.Clock.Now()); !ok {
		p.stats.Throttled++
		return &objectapi.ThrottledError{RetryAfter: after}
	}
	p.countCall(op)
	return nil
}

func (p *Platform) countCall(op objectapi.Op) {
	switch op {
	case objectapi.OpGet:
		p.stats.Gets++
	case objectapi.OpPut:
		p.stats.Puts++
	case objectapi.OpDelete:
		p.stats.Deletes++
	case objectapi.OpList:
		p.stats.Lists++
	case objectapi.OpWatch:
		p.stats.Watches++
	}
}

// watch returns the events after request.From. It waits up to request.Wait for the first one.
func (p *Platform) watch(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	timeout, stop := p.cfg.Clock.After(request.Wait)
	defer stop()
	for {
		reply, changed, err := p.events(request)
		if err != nil || len(reply.Events) > 0 {
			return reply, err
		}
		if !p.wait(ctx, changed, timeout) {
			return reply, nil
		}
		if ctx.Err() != nil {
			return objectapi.Reply{}, objectapi.ErrUnavailable
		}
	}
}

func (p *Platform) events(request objectapi.Request) (objectapi.Reply, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects.events(request.Kind, request.From.Version)
}

// wait blocks until an object changes or ctx ends. It returns false when the watch times out first.
func (p *Platform) wait(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) bool {
	p.addWaiting(1)
	defer p.addWaiting(-1)
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return true
	case <-timeout:
		return false
	}
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.WaitingWatches += n
}

// Compact discards all past changes: watches from older versions get ErrCompacted.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects.compact(0)
}

// Stats returns the current counts.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Objects = p.objects.count()
	return stats
}
