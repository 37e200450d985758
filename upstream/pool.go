package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Pool keeps idle connections to endpoints for reuse. It is safe for concurrent use.
type Pool struct {
	cfg Config
	// mu guards idle and the connections in it.
	mu sync.Mutex
	// idle lists the idle connections to each endpoint; the most recently used one is last.
	idle map[Target][]*conn
}

// Target identifies an endpoint by IP:PORT address and endpoint ID, because the
// address alone can belong to another endpoint later.
type Target struct {
	Address, ID string
}

// NewPool returns an empty Pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), idle: make(map[Target][]*conn)}
}

// acquire returns an idle connection or opens a new one. The error wraps ErrNotSent.
func (p *Pool) acquire(ctx context.Context, target Target) (*conn, error) {
	if idle := p.takeIdle(target, time.Now()); idle != nil {
		return idle, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, target.Address)
	if err != nil {
		return nil, oops.With("step", "dial endpoint", "peer", target.Address).Wrap(errors.Join(ErrNotSent, err))
	}
	return newConn(raw), nil
}

// takeIdle returns the most recently used idle connection that is reusable, or nil. It closes the connections that it
// finds not reusable.
func (p *Pool) takeIdle(target Target, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	for len(idle) > 0 {
		last := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if last.reusable(now) {
			p.idle[target] = idle
			return last
		}
		_ = last.Close()
	}
	delete(p.idle, target)
	return nil
}

// release returns a connection to the pool, or closes it when the endpoint has
// limit idle connections already. keepAlive is the keep-alive timeout that the
// endpoint sent, 0 when it sent none.
func (p *Pool) release(target Target, c *conn, keepAlive time.Duration, limit int) {
	if keepAlive <= 0 {
		keepAlive = p.cfg.IdleTimeout
	}
	// The endpoint closes the connection after its keep-alive timeout. A request must not be in transit at that moment.
	c.reusableUntil = time.Now().Add(keepAlive * 3 / 4)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[target]) >= limit {
		_ = c.Close()
		return
	}
	p.idle[target] = append(p.idle[target], c)
}

// Sweep closes idle connections that are no longer reusable. The caller invokes it about once a second.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, idle := range p.idle {
		reusable := idle[:0]
		for _, c := range idle {
			if c.reusable(now) {
				reusable = append(reusable, c)
				continue
			}
			_ = c.Close()
		}
		if len(reusable) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = reusable
	}
}
