package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// maxReplyBytes bounds the body of the reply to a call other than Stream.
const maxReplyBytes = 4 << 20

// Client is an Engine over HTTP. Each stream uses a separate connection, which is closed when the stream's context ends
// or no byte arrives for IdleTimeout.
type Client struct {
	lg   *slog.Logger
	cfg  ClientConfig
	http *httpcall.Client
}

// NewClient returns a Client for the engine at cfg.Address.
func NewClient(lg *slog.Logger, cfg ClientConfig) *Client {
	return &Client{lg: lg, cfg: cfg, http: httpcall.New(httpcall.Config{
		Address:          cfg.Address,
		Token:            cfg.Token,
		Timeout:          cfg.Timeout,
		IdleTimeout:      cfg.IdleTimeout,
		MaxConns:         cfg.MaxConns,
		MaxResponseBytes: maxReplyBytes,
		Dial:             cfg.Dial,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string, attempt int) error {
	path := "/v1/requests/" + url.PathEscape(id) + "?attempt=" + strconv.Itoa(attempt)
	return c.call(ctx, "cancel", httpcall.Request{Method: fasthttp.MethodDelete, Path: path}, nil)
}

// ExportKV implements Engine.
func (c *Client) ExportKV(ctx context.Context, id string, attempt int) (KVHandle, error) {
	var handle KVHandle
	err := c.post(ctx, "export KV", "/v1/kv/export", ExportBody{ID: id, Attempt: attempt}, &handle)
	return handle, err
}

// ImportKV implements Engine.
func (c *Client) ImportKV(ctx context.Context, handle KVHandle) error {
	return c.post(ctx, "import KV", "/v1/kv/import", handle, nil)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, "load", httpcall.Request{Method: fasthttp.MethodGet, Path: "/v1/load"}, &report)
	return report, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error) {
	path := "/v1/cache-events?from=" + strconv.FormatUint(from, 10)
	var body CacheEventsBody
	err := c.call(ctx, "cache events", httpcall.Request{Method: fasthttp.MethodGet, Path: path}, &body)
	return body.Events, err
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.post(ctx, "order", "/v1/orders", order, nil)
}

func (c *Client) post(ctx context.Context, step, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return c.wrap(step, err)
	}
	return c.call(ctx, step, httpcall.Request{Method: fasthttp.MethodPost, Path: path, Body: encoded}, result)
}

// call sends one request and decodes the reply into result, unless result is nil.
func (c *Client) call(ctx context.Context, step string, request httpcall.Request, result any) error {
	response, err := c.http.Do(ctx, request)
	if err != nil {
		return c.wrap(step, transportError(err))
	}
	if err := statusError(response); err != nil || result == nil {
		return c.wrap(step, err)
	}
	if err := json.Unmarshal(response.Body, result); err != nil {
		return c.wrap(step, fmt.Errorf("%w: %w", ErrBroken, err))
	}
	return nil
}

// wrap logs the error of a call and adds the call's step and the engine's address to it. It returns nil for nil.
func (c *Client) wrap(step string, err error) error {
	if err == nil {
		return nil
	}
	c.lg.Debug("engine call failed", "step", step, "peer", c.http.Address(), "error", err)
	return oops.With("step", "engine "+step, "peer", c.http.Address()).Wrap(err)
}

func transportError(err error) error {
	if errors.Is(err, httpcall.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// statusError returns the error for the status of a reply, nil for a success.
func statusError(response httpcall.Response) error {
	var problem ProblemBody
	if response.Status >= fasthttp.StatusBadRequest {
		// If the body is not JSON, problem stays empty and only the status selects the error.
		_ = json.Unmarshal(response.Body, &problem)
	}
	switch {
	case response.Status < fasthttp.StatusMultipleChoices:
		return nil
	case response.Status == fasthttp.StatusServiceUnavailable && problem.Status == StatusLeaving:
		return ErrLeaving
	case response.Status == fasthttp.StatusNotFound:
		return ErrNotFound
	case response.Status == fasthttp.StatusConflict:
		return ErrStaleFence
	case response.Status < fasthttp.StatusInternalServerError:
		return &RefusedError{RetryAfter: response.RetryAfter(), Reason: problem.Error}
	default:
		return fmt.Errorf("%w: status %d", ErrBroken, response.Status)
	}
}
