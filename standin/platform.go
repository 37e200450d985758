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
	// Faults are the faults in force; operations are "get", "put", "delete", "list" and "watch".
	Faults Faults

	cfg PlatformConfig

	mu            sync.Mutex // guards the fields below
	reads, writes *rateLimiter
	objects       *objects
	stats         PlatformStats
}

// NewPlatform returns an empty object API.
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
		return objectapi.Reply{}, err
	}
	if e.writeDelay > 0 {
		runAfter(context.WithoutCancel(ctx), p.cfg.Clock, e.writeDelay, func() { _, _ = p.run(context.Background(), request) })
		closeConn(ctx)
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	reply, err := p.run(ctx, request)
	if err := e.after(ctx, err, objectapi.ErrUnavailable); err != nil {
		return conflictOnly(reply, err), err
	}
	return reply, nil
}

// Apply makes a call that no fault, latency or rate affects, as the owner of an object would in a test.
func (p *Platform) Apply(request objectapi.Request) (objectapi.Reply, error) {
	if err := request.Validate(); err != nil {
		return objectapi.Reply{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects.run(request)
}

// conflictOnly keeps the reply of a failed call only for a conflict, whose
// reply holds the current object.
func conflictOnly(reply objectapi.Reply, err error) objectapi.Reply {
	if err == objectapi.ErrConflict { //nolint:errorlint // run returns the sentinel itself
		return reply
	}
	return objectapi.Reply{}
}

func (p *Platform) run(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	p.mu.Lock()
	if err := p.meter(request.Op); err != nil {
		p.mu.Unlock()
		return objectapi.Reply{}, err
	}
	if request.Op == objectapi.OpWatch {
		p.mu.Unlock()
		return p.watch(ctx, request)
	}
	defer p.mu.Unlock()
	reply, err := p.objects.run(request)
	if err == objectapi.ErrConflict { //nolint:errorlint // objects return the sentinel itself
		p.stats.Conflicts++
	}
	reply.Version = p.objects.version
	return reply, err
}

// meter counts a call against the rates. The caller holds p.mu.
func (p *Platform) meter(op objectapi.Op) error {
	limit := p.reads
	if op == objectapi.OpPut || op == objectapi.OpDelete {
		limit = p.writes
	}
	if after, ok := limit.allow(p.cfg.Clock.Now()); !ok {
		p.stats.Throttled++
		return &objectapi.ThrottledError{RetryAfter: after}
	}
	p.count(op)
	return nil
}

func (p *Platform) count(op objectapi.Op) {
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

// watch returns the events after request.From, waiting for the first one.
func (p *Platform) watch(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	elapsed, stop := p.cfg.Clock.After(request.Wait)
	defer stop()
	for {
		reply, changed, err := p.events(request)
		if err != nil || len(reply.Events) > 0 {
			return reply, err
		}
		if !p.wait(ctx, changed, elapsed) {
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
	return p.objects.events(request.Kind, request.From)
}

// wait returns false when the time of the watch is over.
func (p *Platform) wait(ctx context.Context, changed <-chan struct{}, elapsed <-chan time.Time) bool {
	p.waiting(1)
	defer p.waiting(-1)
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return true
	case <-elapsed:
		return false
	}
}

func (p *Platform) waiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.WaitingWatches += n
}

// Compact forgets all past changes: watches from older versions get ErrCompacted.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects.compact(0)
}

// Stats returns the counts so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Objects = p.objects.count()
	return stats
}
