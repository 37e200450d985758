package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// watchMargin is how much longer than its Wait a watch may stay silent before
// its connection is given up.
const watchMargin = 5 * time.Second

// Client is a Store over HTTP. It never repeats a write: a write whose reply
// does not arrive ends with ErrUnavailable, and its outcome is unknown.
type Client struct {
	lg   *slog.Logger
	http *httpcall.Client
}

// NewClient returns a Client for the object API of cfg.
func NewClient(lg *slog.Logger, cfg ClientConfig) *Client {
	return &Client{lg: lg, http: httpcall.New(httpcall.Config{
		Address:  cfg.Address,
		Token:    cfg.Token,
		Timeout:  cfg.Timeout,
		MaxConns: cfg.MaxConns,
		Dial:     cfg.Dial,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Do implements Store. A watch has a connection of its own, closed at the end of ctx.
func (c *Client) Do(ctx context.Context, request Request) (Reply, error) {
	call, err := request.httpRequest()
	if err != nil {
		return Reply{}, c.wrap(request, err)
	}
	response, err := c.send(ctx, request, call)
	if err != nil {
		return Reply{}, c.wrap(request, fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	reply, err := decode(response)
	return reply, c.wrap(request, err)
}

func (c *Client) send(ctx context.Context, request Request, call httpcall.Request) (httpcall.Response, error) {
	if request.Op == OpWatch {
		return c.http.Fetch(ctx, call, request.Wait+watchMargin)
	}
	return c.http.Do(ctx, call)
}

func (c *Client) wrap(request Request, err error) error {
	if err == nil {
		return nil
	}
	c.lg.Debug("platform call failed", "step", request.Op.String(), "peer", c.http.Address(),
		"kind", string(request.Kind), "name", request.Name, "error", err)
	return oops.With("step", "platform "+request.Op.String(), "peer", c.http.Address()).Wrap(err)
}

// decode maps a reply to the sentinel errors. A reply that cannot be read
// counts as lost.
func decode(response httpcall.Response) (Reply, error) {
	switch response.Status {
	case fasthttp.StatusOK, fasthttp.StatusPreconditionFailed:
		return decodeBody(response)
	case fasthttp.StatusNotFound:
		return Reply{}, ErrNotFound
	case fasthttp.StatusGone:
		return Reply{}, ErrCompacted
	case fasthttp.StatusTooManyRequests:
		return Reply{}, &ThrottledError{RetryAfter: response.RetryAfter()}
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return Reply{}, ErrInvalid
	default:
		return Reply{}, fmt.Errorf("%w: status %d", ErrUnavailable, response.Status)
	}
}

func decodeBody(response httpcall.Response) (Reply, error) {
	var body ReplyBody
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.Status == fasthttp.StatusPreconditionFailed {
		return body.Reply(), ErrConflict
	}
	return body.Reply(), nil
}
