package roster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// Client implements List over HTTP.
type Client struct {
	lg   *slog.Logger
	http *httpcall.Client
}

// NewClient returns a Client for the list at cfg.Address.
func NewClient(lg *slog.Logger, cfg ClientConfig) *Client {
	return &Client{lg: lg, http: httpcall.New(httpcall.Config{
		Address: cfg.Address, Token: cfg.Token, Timeout: cfg.Timeout, Dial: cfg.Dial,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// errNoTime means that a response lacks the time of the list: it is no list.
var errNoTime = errors.New("response without the time of the list")

// Read implements List. It wraps every failure in ErrUnavailable.
func (c *Client) Read(ctx context.Context) (Snapshot, error) {
	var snapshot Snapshot
	response, err := c.http.JSON(ctx, fasthttp.MethodGet, "/v1/list", nil, &snapshot)
	if err == nil && !response.OK() {
		err = fmt.Errorf("status %d", response.Status)
	}
	if err == nil && snapshot.AtMs <= 0 {
		err = errNoTime
	}
	if err == nil {
		return snapshot, nil
	}
	c.lg.Debug("roster read failed", "peer", c.http.Address(), "error", err)
	wrapped := fmt.Errorf("%w: %w", ErrUnavailable, err)
	return Snapshot{}, oops.With("step", "roster read", "peer", c.http.Address()).Wrap(wrapped)
}
