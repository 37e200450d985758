package upstream

import (
	"context"
	"errors"
	"syscall"
)

// Refuses reports whether the endpoint's host refuses a new connection, as it does once the endpoint's process has ended.
// A connection that opens is kept for later requests, see Request.IdleLimit.
func (p *Pool) Refuses(ctx context.Context, target Target, idleLimit int) bool {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, target.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(target, newConn(raw), 0, idleLimit)
	return false
}
