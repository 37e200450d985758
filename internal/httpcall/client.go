// Package httpcall is the HTTP client that the clients of external systems
// share. Calls have time limits and end with their context; complete responses
// also have a size limit. Of the requests that were sent, only a GET is ever retried.
package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/internal/httpconn"
)

// idleConnDuration is short, since the client does not detect that an idle
// connection no longer delivers data, and a call on it would wait for the whole
// timeout.
const idleConnDuration = 2 * time.Second

const (
	// maxGetAttempts is 2, so that a GET on a pooled connection that the server has
	// closed is retried once on another connection.
	maxGetAttempts = 2
	// maxAttempts bounds all attempts, including those at which a pooled connection was unusable.
	maxAttempts = 8
)

// ErrNotSent means that the call failed before a request was sent, for example
// because no connection could be opened: nothing reached the server.
var ErrNotSent = errors.New("not sent")

// Client makes calls to one server. It is safe for concurrent use.
type Client struct {
	cfg  Config
	host *fasthttp.HostClient
	// memory bounds the response bodies that are being read.
	memory *boundedbuffer.Memory
}

// MemoryFactor times MaxResponseBytes is the memory of the bodies that a client reads at the same time.
const MemoryFactor = 3

// New returns a Client for the server that cfg describes.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg.withDefaults()}
	c.memory = boundedbuffer.NewMemory(MemoryFactor * c.cfg.MaxResponseBytes)
	c.host = &fasthttp.HostClient{
		Addr:                      c.cfg.Address,
		Dial:                      c.dial,
		MaxConns:                  c.cfg.MaxConns,
		MaxConnWaitTimeout:        c.cfg.Timeout,
		MaxIdleConnDuration:       idleConnDuration,
		MaxIdemponentCallAttempts: maxAttempts,
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
	go func() { results <- c.roundTrips(request, deadline) }()
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
	// retry is set if the connection broke in the body and the request may be sent again.
	retry bool
}

// roundTrips repeats a GET whose body broke off. The HTTP client repeats one that breaks off earlier.
func (c *Client) roundTrips(request Request, deadline time.Time) result {
	r := c.roundTrip(request, deadline)
	if r.retry {
		r = c.roundTrip(request, deadline)
	}
	return r
}

func (c *Client) roundTrip(request Request, deadline time.Time) result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	request.fill(req, c.cfg)
	if err := c.host.DoDeadline(req, resp, deadline); err != nil {
		c.closeIdleOnTimeout(err)
		if errors.Is(err, httpconn.ErrStale) {
			err = errors.Join(ErrNotSent, err)
		}
		return result{err: httpconn.BoundText(err)}
	}
	response, err := c.readResponse(resp)
	if err != nil {
		c.closeIdleOnTimeout(err)
		return result{err: err, retry: retryBody(req, err)}
	}
	return result{response: response}
}

// readResponse reads the body, which fasthttp would read into memory of the announced length.
func (c *Client) readResponse(resp *fasthttp.Response) (Response, error) {
	response := newResponse(resp)
	if resp.BodyStream() == nil {
		return response, nil
	}
	body, err := readBody(c.memory, resp.BodyStream(), resp.Header.ContentLength(), c.cfg.MaxResponseBytes)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = fasthttp.ErrTimeout
	}
	response.Body = body
	return response, err
}

// minBodyBuffer is the initial size of the buffer for a body without a length, in bytes.
const minBodyBuffer = 2 << 10

// readBody reads a body into memory. length is negative if it is not known.
func readBody(memory *boundedbuffer.Memory, body io.Reader, length, maxBytes int) ([]byte, error) {
	buffer := boundedbuffer.New(memory, max(length+1, minBodyBuffer))
	defer buffer.Release()
	return buffer.ReadAll(body, maxBytes)
}

// retryBody reports whether a request whose response body failed with err is sent again, see retryGet.
func retryBody(request *fasthttp.Request, err error) bool {
	_, retry := retryGet(request, 1, err)
	return retry && !errors.Is(err, ErrTooLarge) && !errors.Is(err, boundedbuffer.ErrNoMemory)
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
	return httpconn.New(conn), nil
}

// retryGet allows a retry of a request that was sent only for GET: if the first attempt of a conditional
// PUT or DELETE took effect, a retry would fail the condition.
func retryGet(request *fasthttp.Request, attempts int, err error) (resetTimeout, retry bool) {
	if errors.Is(err, httpconn.ErrStale) {
		return false, true
	}
	return false, attempts < maxGetAttempts && request.Header.IsGet() && !errors.Is(err, fasthttp.ErrTimeout) && !errors.Is(err, ErrNotSent)
}
