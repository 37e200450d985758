package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// Client calls peers. It keeps one session per address and opens a new one
// after a session has failed or timed out. It is safe for concurrent use.
type Client struct {
	lg  *slog.Logger
	cfg Config

	mu     sync.Mutex // guards the fields below
	slots  map[string]*slot
	closed bool
}

// NewClient returns a Client, or an error that wraps ErrInvalidConfig. The session to a peer is
// opened by the first call to it.
func NewClient(lg *slog.Logger, cfg Config) (*Client, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Client{lg: lg, cfg: cfg, slots: make(map[string]*slot)}, nil
}

// Call sends call to the peer at address and waits for its answer until ctx
// is done. MayHaveTakenEffect classifies the returned error.
func (c *Client) Call(ctx context.Context, address string, call *wire.Call) (*wire.Answer, error) {
	exchange, err := c.startCall(ctx, address, frameCall, call)
	if err != nil {
		return nil, err
	}
	defer exchange.release()
	_, answer, err := exchange.receive(ctx, frameAnswer)
	return answer, err
}

// Stream sends call and passes each item of the answer to yield, in order. It
// returns nil once the peer has ended the stream, or the first error, which
// can be that of yield.
func (c *Client) Stream(ctx context.Context, address string, call *wire.Call, yield func(*wire.Answer) error) error {
	exchange, err := c.startCall(ctx, address, frameStream, call)
	if err != nil {
		return err
	}
	defer exchange.release()
	for {
		kind, answer, err := exchange.receive(ctx, frameAnswer, frameEnd)
		if err != nil {
			return err
		}
		if kind == frameEnd {
			return nil
		}
		if err := yield(answer); err != nil {
			return err
		}
	}
}

// Close closes all sessions. Calls in progress return ErrUncertain.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	slots := c.slots
	c.slots = make(map[string]*slot)
	c.mu.Unlock()
	for _, s := range slots {
		s.close()
	}
	return nil
}

// startCall opens a stream and sends call. If the session was
// closed before the call was sent, it retries once on a new session, which is
// safe since no part of the call was sent on the closed one.
func (c *Client) startCall(ctx context.Context, address string, kind frameKind, call *wire.Call) (*exchange, error) {
	if size := proto.Size(call); size > c.cfg.MaxFrameBytes {
		err := fmt.Errorf("%w: %w: %d bytes, limit %d", ErrNotSent, ErrFrameTooLarge, size, c.cfg.MaxFrameBytes)
		return nil, stepError("peer/send", address, err)
	}
	e, err := c.newExchange(ctx, address)
	if errors.Is(err, errStaleSession) {
		e, err = c.newExchange(ctx, address)
	}
	if err != nil {
		return nil, stepError("peer/open", address, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	if err := e.send(ctx, kind, c.cfg.stampCall(call)); err != nil {
		e.release()
		return nil, err
	}
	return e, nil
}

// newExchange starts an exchange on the session to address.
func (c *Client) newExchange(ctx context.Context, address string) (*exchange, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	return session.newExchange(ctx)
}

// session returns the open session to address. Concurrent callers share one
// attempt to open it, which does not depend on the first caller's context.
func (c *Client) session(ctx context.Context, address string) (*clientSession, error) {
	s, err := c.slot(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ready:
		return s.session, s.err
	}
}

// slot returns the slot of address. A new slot opens its session in the background.
func (c *Client) slot(address string) (*slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if s, ok := c.slots[address]; ok && !s.ended() {
		return s, nil
	}
	s := newSlot()
	c.slots[address] = s
	go s.open(c.lg, c.cfg, address, func() { c.removeSlot(address, s) })
	return s, nil
}

// removeSlot removes a slot whose session could not be opened or has ended, unless a newer slot has replaced it.
func (c *Client) removeSlot(address string, s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots[address] == s {
		delete(c.slots, address)
	}
}
