package weights

import (
	"context"
	"fmt"
	"log/slog"
	"net/url"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// Client is a Store over HTTP.
type Client struct {
	lg   *slog.Logger
	http *httpcall.Client
}

// NewClient returns a Client for the weight store of cfg.
func NewClient(lg *slog.Logger, cfg ClientConfig) *Client {
	return &Client{lg: lg, http: httpcall.New(httpcall.Config{
		Address: cfg.Address, Token: cfg.Token, Timeout: cfg.Timeout, Dial: cfg.Dial,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (Descriptor, error) {
	var descriptor Descriptor
	path := "/v1/weights/" + url.PathEscape(name)
	response, err := c.http.JSON(ctx, fasthttp.MethodGet, path, nil, &descriptor)
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	} else {
		err = statusError(response)
	}
	if err == nil {
		return descriptor, nil
	}
	c.lg.Debug("weight store call failed", "peer", c.http.Address(), "name", name, "error", err)
	return Descriptor{}, oops.With("step", "weights get", "peer", c.http.Address()).Wrap(err)
}

func statusError(response httpcall.Response) error {
	switch {
	case response.OK():
		return nil
	case response.Status == fasthttp.StatusNotFound:
		return ErrNotFound
	case response.Status == fasthttp.StatusTooManyRequests:
		return &ThrottledError{RetryAfter: response.RetryAfter()}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.Status)
	}
}
