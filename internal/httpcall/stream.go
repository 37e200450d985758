package httpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
	"knapweedhoist/internal/httpconn"
)

// ErrTooLarge means that a response body exceeds the limit of ReadAll, which is MaxResponseBytes in Do and Fetch.
var ErrTooLarge = boundedbuffer.ErrTooLarge

// fetchFactor times the idle timeout is the longest time of a Fetch. A server in trouble may send a byte now and then.
const fetchFactor = 4

// Stream is a response whose body is read as it arrives. The caller must close it.
type Stream struct {
	// Response holds the status and the header; its own Body is not set.
	Response
	// Body returns io.EOF only after the complete body.
	Body io.Reader

	memory        *boundedbuffer.Memory
	conn          net.Conn
	detachContext func() bool
}

// Open makes a call on a new connection and returns as soon as the response
// header has arrived. A read fails if no byte arrives for IdleTimeout. The end
// of ctx closes the connection. The connection is not pooled, because a pooled
// one can break unnoticed while it is idle, and because cancelling the call must
// not affect other calls.
func (c *Client) Open(ctx context.Context, request Request) (*Stream, error) {
	return c.open(ctx, request, c.cfg.IdleTimeout)
}

// Fetch makes a call on a new connection and returns the complete response. It
// fails if no byte arrives for idleTimeout, if one write takes longer than that, or
// after fetchFactor times idleTimeout. Timeout bounds only the opening of the
// connection. The end of ctx closes the connection.
func (c *Client) Fetch(ctx context.Context, request Request, idleTimeout time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchFactor*idleTimeout)
	defer cancel()
	stream, err := c.open(ctx, request, idleTimeout)
	if err != nil {
		return Response{}, err
	}
	defer stream.Close()
	return stream.ReadAll(c.cfg.MaxResponseBytes)
}

func (c *Client) open(ctx context.Context, request Request, idleTimeout time.Duration) (*Stream, error) {
	conn, err := c.dialNew(ctx)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	detachContext := context.AfterFunc(ctx, func() { _ = conn.Close() })
	stream, err := startStream(idleTimeoutConn{Conn: httpconn.New(conn), idleTimeout: idleTimeout}, request, c.cfg)
	if err != nil {
		detachContext()
		_ = conn.Close()
		return nil, joinCause(ctx, err)
	}
	stream.conn, stream.memory = conn, c.memory
	stream.detachContext = detachContext
	return stream, nil
}

func (c *Client) dialNew(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.cfg.Dial(ctx, c.cfg.Address)
}

func startStream(conn net.Conn, request Request, cfg Config) (*Stream, error) {
	if err := writeRequest(conn, request, cfg); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	response := &fasthttp.Response{StreamBody: true}
	if err := response.ReadLimitBody(bufio.NewReader(conn), cfg.MaxResponseBytes); err != nil {
		return nil, fmt.Errorf("receive header: %w", httpconn.BoundText(err))
	}
	stream := &Stream{Response: newResponse(response), Body: http.NoBody}
	if body := response.BodyStream(); body != nil { // nil for a status that has no body
		stream.Body = body
	}
	return stream, nil
}

func writeRequest(conn net.Conn, request Request, cfg Config) error {
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

// ReadAll reads the rest of the body. It fails with ErrTooLarge if that exceeds limit bytes.
func (s *Stream) ReadAll(limit int) (Response, error) {
	body, err := readBody(s.memory, s.Body, -1, limit)
	if err != nil {
		return Response{}, fmt.Errorf("receive body: %w", err)
	}
	response := s.Response
	response.Body = body
	return response, nil
}

// Close closes the connection, by which the server detects that the caller no longer reads.
func (s *Stream) Close() {
	s.detachContext()
	_ = s.conn.Close()
}

func joinCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}
