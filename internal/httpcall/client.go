// Package httpcall is the HTTP client that the clients of external systems
// share. Calls have time limits and end with their context; complete responses
// also have a size limit. Only a GET is ever retried.
package httpcall

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// idleConnDuration is short, since the client does not detect that an idle
// connection no longer delivers data, and a call on it would wait for the whole
// timeout.
const idleConnDuration = 2 * time.Second

// maxGetAttempts is 2, so that a GET on a pooled connection that the server has
// closed is retried once on another connection.
const maxGetAttempts = 2

// ErrNotSent means that the call failed before a request was sent, for example
// because no connection could be opened: nothing reached the server.
var ErrNotSent = errors.New("not sent")

// Client makes calls to one server. It is safe for concurrent use.
type Client struct {
	cfg  Config
	host *fasthttp.HostClient
}

// New returns a Client for the server that cfg describes.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg.withDefaults()}
	c.host = &fasthttp.HostClient{
		Addr:                      c.cfg.Address,
		Dial:                      c.dial,
		MaxConns:                  c.cfg.MaxConns,
		MaxConnWaitTimeout:        c.cfg.Timeout,
		MaxIdleConnDuration:       idleConnDuration,
		MaxIdemponentCallAttempts: maxGetAttempts,
		MaxResponseBodySize:       c.cfg.MaxResponseBytes,
		RetryIfErr:                retryGet,
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

// Do makes a call and returns the complete response. After an error the server
// may have processed the call, unless the error wraps ErrNotSent.
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
		c.closeIdleOnTimeout(err)
		return result{err: err}
	}
	return result{response: newResponse(resp)}
}

// closeIdleOnTimeout closes the pooled connections after a timeout: if one
// connection no longer delivers data, the others to the same server may not
// either.
func (c *Client) closeIdleOnTimeout(err error) {
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

// retryGet allows a retry only for GET: if the first attempt of a conditional
// PUT or DELETE took effect, a retry would fail the condition.
func retryGet(request *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, request.Header.IsGet() && !errors.Is(err, fasthttp.ErrTimeout) && !errors.Is(err, ErrNotSent)
}
