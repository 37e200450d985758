package cloud

import (
	"context"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// Client implements Cloud over HTTP. It never retries a start or a stop.
type Client struct {
	lg   *slog.Logger
	http *httpcall.Client
}

// NewClient returns a Client that calls the cloud API at cfg.Address and logs to lg.
func NewClient(lg *slog.Logger, cfg ClientConfig) *Client {
	return &Client{lg: lg, http: httpcall.New(httpcall.Config{
		Address: cfg.Address, Token: cfg.Token, Timeout: cfg.Timeout, Dial: cfg.Dial,
	})}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Offers implements Cloud.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	var body OffersBody
	err := c.call(ctx, "offers", fasthttp.MethodGet, "/v1/offers", nil, &body)
	return body.Offers, err
}

// StartInstance implements Cloud.
func (c *Client) StartInstance(ctx context.Context, order StartOrder) (Instance, error) {
	var instance Instance
	err := c.call(ctx, "start", fasthttp.MethodPost, "/v1/instances", order, &instance)
	return instance, err
}

// StopInstance implements Cloud.
func (c *Client) StopInstance(ctx context.Context, order StopOrder) error {
	path := "/v1/instances/" + url.PathEscape(order.ID) + "?fence=" + strconv.FormatUint(order.Fence, 10)
	return c.call(ctx, "stop", fasthttp.MethodDelete, path, nil, nil)
}

// Instances implements Cloud.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var body InstancesBody
	err := c.call(ctx, "instances", fasthttp.MethodGet, "/v1/instances", nil, &body)
	return body.Instances, err
}

// Notices implements Cloud.
func (c *Client) Notices(ctx context.Context, after uint64) ([]Notice, error) {
	var body NoticesBody
	path := "/v1/notices?from=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, "notices", fasthttp.MethodGet, path, nil, &body)
	return body.Notices, err
}

func (c *Client) call(ctx context.Context, step, method, path string, body, into any) error {
	response, err := c.http.JSON(ctx, method, path, body, into)
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	} else {
		err = statusError(response)
	}
	if err == nil {
		return nil
	}
	c.lg.Debug("cloud call failed", "step", step, "peer", c.http.Address(), "error", err)
	return oops.With("step", "cloud "+step, "peer", c.http.Address()).Wrap(err)
}

func statusError(response httpcall.Response) error {
	switch response.Status {
	case fasthttp.StatusConflict:
		return ErrRefused
	case fasthttp.StatusPreconditionFailed:
		return ErrStaleFence
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusBadRequest:
		return ErrInvalid
	case fasthttp.StatusTooManyRequests:
		return &ThrottledError{RetryAfter: response.RetryAfter()}
	}
	if !response.OK() {
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.Status)
	}
	return nil
}
