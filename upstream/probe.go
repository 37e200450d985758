package upstream

import (
	"context"
	"errors"
	"syscall"
)

// Refuses reports whether the endpoint's host refuses a new connection, as it does once the endpoint's process has ended.
// A connection that opens is kept for later requests, see Request.IdleLimit.
func (p *Pool) Refuses(ctx context.Context, target Target, idleLimit int) bool {
	return errors.Is(p.Open(ctx, target, idleLimit), syscall.ECONNREFUSED)
}

// Open opens a connection to an endpoint and keeps it for later requests, see Request.IdleLimit.
func (p *Pool) Open(ctx context.Context, target Target, idleLimit int) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, target.Address)
	if err != nil {
		return err
	}
	p.release(target, newConn(raw), 0, idleLimit)
	return nil
}
