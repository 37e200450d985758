// Package httpcall makes the HTTP calls of the clients of outside systems:
// bounded in time and size, cancelled with their context, and never repeated
// when the first try may have reached the server.
package httpcall

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// idleConnDuration is short, since an idle connection can have gone silent
// unnoticed and would then cost a whole timeout.
const idleConnDuration = 2 * time.Second

// readAttempts is 2, so that a GET on a pooled connection that the server has
// closed is tried once on another one.
const readAttempts = 2

// ErrNotSent tells that no connection could be opened: nothing reached the server.
var ErrNotSent = errors.New("not sent")

// Client calls one server. It is safe for concurrent use.
type Client struct {
	cfg  Config
	host *fasthttp.HostClient
}

// New returns a Client for the server of cfg.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg.withDefaults()}
	c.host = &fasthttp.HostClient{
		Addr:                      c.cfg.Address,
		Dial:                      c.dial,
		MaxConns:                  c.cfg.MaxConns,
		MaxConnWaitTimeout:        c.cfg.Timeout,
		MaxIdleConnDuration:       idleConnDuration,
		MaxIdemponentCallAttempts: readAttempts,
		MaxResponseBodySize:       c.cfg.MaxResponseBytes,
		RetryIfErr:                retryRead,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return c
}

// Address returns the server's address.
func (c *Client) Address() string {
	return c.cfg.Address
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.host.CloseIdleConnections()
}

// Do makes a call and returns the whole reply. After an error the server may
// have run the call, unless the error wraps ErrNotSent.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Join(ErrNotSent, err)
	}
	results := make(chan result, 1)
	deadline := c.deadline(ctx)
	go func() { results <- c.roundTrip(request, deadline) }()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		return Response{}, context.Cause(ctx)
	}
}

type result struct {
	response Response
	err      error
}

func (c *Client) roundTrip(request Request, deadline time.Time) result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	request.fill(req, c.cfg)
	if err := c.host.DoDeadline(req, resp, deadline); err != nil {
		c.dropIdle(err)
		return result{err: err}
	}
	return result{response: newResponse(resp)}
}

// dropIdle closes the pooled connections after a timeout: when one connection
// has gone silent, the others to the same server may have too.
func (c *Client) dropIdle(err error) {
	if errors.Is(err, fasthttp.ErrTimeout) {
		c.host.CloseIdleConnections()
	}
}

func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.cfg.Timeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		return deadline
	}
	return limit
}

func (c *Client) dial(string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Timeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, c.cfg.Address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	return conn, nil
}

// retryRead allows another try only for GET: a repeated write whose first try
// took effect would fail its own condition.
func retryRead(request *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, request.Header.IsGet() && !errors.Is(err, fasthttp.ErrTimeout) && !errors.Is(err, ErrNotSent)
}
