package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpconn"
)

// Request is one HTTP request to an endpoint.
type Request struct {
	Target Target
	Header *fasthttp.RequestHeader
	Body   []byte
	// ID is the id of the request. A response with a different id, or without one, is taken as the response to another
	// request and skipped. An empty ID accepts any response.
	ID string
	// ResponseID returns the request id in the header section of a response, or "".
	ResponseID func(*fasthttp.ResponseHeader) string
	// Deadline is the time at which reads and writes of the exchange fail.
	Deadline time.Time
	// Sent is called once a connection is available, before the request is written. It may be nil.
	Sent func()
	// IdleLimit is the maximum number of idle connections to the endpoint, see the function IdleLimit.
	IdleLimit int
}

const (
	// maxSkippedResponses bounds the informational responses and responses to other requests that one exchange skips.
	maxSkippedResponses = 3
	// maxSkippedBytes bounds the body of a response to another request. An endpoint in trouble can send bytes without end.
	maxSkippedBytes = 1 << 20
)

// writeGrace is how long an endpoint that has responded may take to read the rest of the request body before the
// connection is closed. It is also how long the end of a body that the end of the connection delimits waits for a reset behind it.
const writeGrace = 100 * time.Millisecond

// Do sends a request and returns the response after reading its header section.
// The caller must call Close or Abort on the response. The end of ctx closes the
// connection. The error wraps ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, request Request) (*Response, error) {
	// The methods of a fasthttp header write to it, so that only this goroutine may use it.
	header, isHead := request.Header.AppendBytes(nil), request.Header.IsHead()
	c, err := p.acquire(ctx, request.Target)
	if err != nil {
		return nil, err
	}
	c.prepare(len(request.Body))
	if request.Sent != nil {
		request.Sent()
	}
	response := &Response{pool: p, target: request.Target, idleLimit: request.IdleLimit, conn: c, writeDone: make(chan error, 1)}
	response.stopCancel = context.AfterFunc(ctx, c.abort)
	_ = c.SetDeadline(request.Deadline)
	go func() { response.writeDone <- writeContained(c, header, request.Body) }()
	if err := response.readHeader(request, isHead); err != nil {
		response.Abort()
		return nil, oops.With("step", "exchange with endpoint", "peer", request.Target.Address).
			Wrap(errors.Join(ErrBroken, err))
	}
	return response, nil
}

// writeContained returns a panic in writeRequest as an error.
func writeContained(c *conn, header, body []byte) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fmt.Errorf("panic in writing the request: %v", value)
		}
	}()
	return writeRequest(c, header, body)
}

func writeRequest(c *conn, header, body []byte) error {
	if _, err := c.writer.Write(header); err != nil {
		return err
	}
	if _, err := c.writer.Write(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHeader reads the header section of the response to this request and sets Body. It skips informational responses
// and responses to other requests. isHead means that the request method is HEAD.
func (r *Response) readHeader(request Request, isHead bool) error {
	for range maxSkippedResponses + 1 {
		if err := checkHead(r.conn.reader); err != nil {
			return err
		}
		if err := r.Header.Read(r.conn.reader); err != nil {
			return headerError{err}
		}
		if status := r.Header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		r.initBody(isHead)
		if request.ResponseID(&r.Header) == request.ID || request.ID == "" {
			return nil
		}
		if err := skipBody(r.Body); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: more than %d informational responses or responses to other requests", ErrOversized, maxSkippedResponses)
}

// checkHead checks the next header section and leaves it unread. It leaves an error of reading to the next read.
func checkHead(reader *bufio.Reader) error {
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		if length := httpconn.HeadLength(buffered); length > 0 {
			return httpconn.CheckHead(buffered[:length])
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil
		}
	}
}

// skipBody reads a body to its end.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes))
	switch {
	case err != nil:
		return err
	case n == maxSkippedBytes:
		return fmt.Errorf("%w: response to another request", ErrOversized)
	default:
		return nil
	}
}
