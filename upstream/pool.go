package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	idle map[Peer][]*conn
}

// Peer is an endpoint as a connection sees it: an address alone can belong to
// another endpoint later.
type Peer struct {
	Address, ID string
}

// NewPool returns an empty Pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), idle: make(map[Peer][]*conn)}
}

// acquire returns a kept connection or a new one.
func (p *Pool) acquire(ctx context.Context, peer Peer) (*conn, error) {
	if kept := p.takeIdle(peer, time.Now()); kept != nil {
		return kept, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, peer.Address)
	if err != nil {
		return nil, oops.With("step", "dial endpoint", "peer", peer.Address).Wrap(errors.Join(ErrNotSent, err))
	}
	return newConn(raw), nil
}

// takeIdle returns the connection that was used last and is clean, and closes those that are not.
func (p *Pool) takeIdle(peer Peer, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[peer]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		if last.clean(now) {
			p.idle[peer] = kept
			return last
		}
		_ = last.Close()
	}
	delete(p.idle, peer)
	return nil
}

// release keeps a connection for the next request unless limit idle ones are
// kept already. keepFor is the time that the endpoint stated, 0 when it stated none.
func (p *Pool) release(peer Peer, c *conn, keepFor time.Duration, limit int) {
	if keepFor <= 0 {
		keepFor = p.cfg.IdleTimeout
	}
	// The endpoint closes the connection at the end of that time; a request must not cross the close.
	c.usable = time.Now().Add(keepFor * 3 / 4)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[peer]) >= limit {
		_ = c.Close()
		return
	}
	p.idle[peer] = append(p.idle[peer], c)
}

// Sweep closes idle connections that can no longer be used. It is called every second or so.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, kept := range p.idle {
		clean := kept[:0]
		for _, c := range kept {
			if c.clean(now) {
				clean = append(clean, c)
				continue
			}
			_ = c.Close()
		}
		if len(clean) == 0 {
			delete(p.idle, peer)
			continue
		}
		p.idle[peer] = clean
	}
}
