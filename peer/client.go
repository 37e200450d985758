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
// when a session broke or went silent. It is safe for concurrent use.
type Client struct {
	lg  *slog.Logger
	cfg Config

	mu     sync.Mutex // guards the fields below
	slots  map[string]*slot
	closed bool
}

// NewClient returns a Client; sessions open with the first call to a peer.
func NewClient(lg *slog.Logger, cfg Config) (*Client, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Client{lg: lg, cfg: cfg, slots: make(map[string]*slot)}, nil
}

// Call sends call to the peer at address and waits for its answer until ctx
// ends. MayHaveTakenEffect tells what an error means for the call.
func (c *Client) Call(ctx context.Context, address string, call *wire.Call) (*wire.Answer, error) {
	exchange, err := c.begin(ctx, address, frameCall, call)
	if err != nil {
		return nil, err
	}
	defer exchange.end()
	_, answer, err := exchange.receive(ctx, frameAnswer)
	return answer, err
}

// Stream sends call and passes each item of the answer to yield, in order. It
// returns nil after the peer ended the stream, or the error of yield.
func (c *Client) Stream(ctx context.Context, address string, call *wire.Call, yield func(*wire.Answer) error) error {
	exchange, err := c.begin(ctx, address, frameStream, call)
	if err != nil {
		return err
	}
	defer exchange.end()
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

// Close ends all sessions. Calls in progress get ErrUncertain.
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

// begin opens a stream and sends call. A session that ended while it was idle
// is replaced once, since nothing was sent on it.
func (c *Client) begin(ctx context.Context, address string, kind frameKind, call *wire.Call) (*exchange, error) {
	if size := proto.Size(call); size > c.cfg.MaxFrameBytes {
		err := fmt.Errorf("%w: %w: %d bytes, limit %d", ErrNotSent, ErrFrameTooLarge, size, c.cfg.MaxFrameBytes)
		return nil, stepError("peer/send", address, err)
	}
	e, err := c.open(ctx, address)
	if errors.Is(err, errStaleSession) {
		e, err = c.open(ctx, address)
	}
	if err != nil {
		return nil, stepError("peer/open", address, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	if err := e.send(ctx, kind, c.cfg.stampCall(call)); err != nil {
		e.end()
		return nil, err
	}
	return e, nil
}

// open returns an exchange on the session to address.
func (c *Client) open(ctx context.Context, address string) (*exchange, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	return session.exchange(ctx)
}

// session returns the open session to address; concurrent callers share one
// attempt to open it, which does not end with the first caller's context.
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

// slot returns the slot of address; a new one starts to open its session.
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
	go s.open(c.lg, c.cfg, address, func() { c.drop(address, s) })
	return s, nil
}

// drop forgets a slot whose session ended, unless a newer one took its place.
func (c *Client) drop(address string, s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots[address] == s {
		delete(c.slots, address)
	}
}
