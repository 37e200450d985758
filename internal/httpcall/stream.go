package httpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge tells that a reply exceeds MaxResponseBytes.
var ErrTooLarge = errors.New("reply too large")

// Stream is a reply whose body is read as it arrives. Close it after use.
type Stream struct {
	Response
	// Body returns io.EOF only after a complete body.
	Body io.Reader

	conn net.Conn
	stop func() bool
}

// Open makes a call on a connection of its own and returns as soon as the
// header of the reply has arrived. Each read fails when no byte arrives for
// Silence. The end of ctx closes the connection. A connection of its own
// cannot have gone silent before the call, and cancelling it affects no other.
func (c *Client) Open(ctx context.Context, request Request) (*Stream, error) {
	return c.open(ctx, request, c.cfg.Silence)
}

// Fetch is Do on a connection of its own, for a reply that may stay silent for
// as long as silence; the end of ctx closes the connection.
func (c *Client) Fetch(ctx context.Context, request Request, silence time.Duration) (Response, error) {
	stream, err := c.open(ctx, request, silence)
	if err != nil {
		return Response{}, err
	}
	defer stream.Close()
	return stream.ReadAll(c.cfg.MaxResponseBytes)
}

func (c *Client) open(ctx context.Context, request Request, silence time.Duration) (*Stream, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	stream, err := exchange(progressConn{Conn: conn, silence: silence}, request, c.cfg)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, withCause(ctx, err)
	}
	stream.conn = conn
	stream.stop = stop
	return stream, nil
}

func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.cfg.Dial(ctx, c.cfg.Address)
}

func exchange(conn net.Conn, request Request, cfg Config) (*Stream, error) {
	if err := send(conn, request, cfg); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	response := &fasthttp.Response{StreamBody: true}
	if err := response.ReadLimitBody(bufio.NewReader(conn), cfg.MaxResponseBytes); err != nil {
		return nil, fmt.Errorf("receive header: %w", err)
	}
	head := Response{Status: response.StatusCode(), Header: fields(response)}
	return &Stream{Response: head, Body: response.BodyStream()}, nil
}

func send(conn net.Conn, request Request, cfg Config) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	request.fill(req, cfg)
	req.SetConnectionClose()
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// ReadAll reads the rest of the body, at most limit bytes.
func (s *Stream) ReadAll(limit int) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(s.Body, int64(limit)+1))
	if err != nil {
		return Response{}, fmt.Errorf("receive body: %w", err)
	}
	if len(body) > limit {
		return Response{}, ErrTooLarge
	}
	response := s.Response
	response.Body = body
	return response, nil
}

// Close closes the connection; the server sees that the caller has gone.
func (s *Stream) Close() {
	s.stop()
	_ = s.conn.Close()
}

func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}
