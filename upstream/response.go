package upstream

import (
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/socket"
)

// Response is the response of an endpoint. It is not safe for concurrent use.
type Response struct {
	Header fasthttp.ResponseHeader
	// Body returns io.EOF only when the body is complete by its framing.
	Body *Body

	pool   *Pool
	target Target
	// idleLimit is Request.IdleLimit.
	idleLimit int
	conn      *conn
	// writeDone receives the result of writing the request.
	writeDone chan error
	// stopCancel unregisters the closing of the connection at the end of the request's context. It returns false when the
	// context has ended.
	stopCancel func() bool
	closed     bool
}

// initBody sets Body according to the framing in Header. isHead means that the request method is HEAD.
func (r *Response) initBody(isHead bool) {
	status := r.Header.StatusCode()
	length := r.Header.ContentLength()
	switch {
	case isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		r.Body = &Body{reader: strings.NewReader(""), remaining: 0}
	case length >= 0:
		r.Body = &Body{reader: io.LimitReader(r.conn.reader, int64(length)), remaining: length}
	case length == -1:
		r.Body = &Body{reader: httputil.NewChunkedReader(r.conn.reader), trailerReader: r.conn.reader, remaining: -1}
	default:
		r.Body = &Body{reader: r.conn.reader, remaining: -1, untilClose: true, wasReset: r.wasReset}
	}
}

// wasReset reports whether the connection was reset although reads have come to its end as after a FIN. The kernel reports an error
// of a connection once, so that a write may have got that of the reset, and it reports none to reads if a FIN came before the reset.
// The rest of the request gets up to writeGrace to be accepted. Then it is no longer sent.
func (r *Response) wasReset() bool {
	_ = r.conn.SetWriteDeadline(time.Now().Add(writeGrace))
	err := <-r.writeDone
	r.writeDone <- err
	if err == nil {
		err = socket.CheckAccepted(r.conn.Conn, writeGrace)
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// SetReadDeadline replaces the time at which reads of the body fail.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Close ends the exchange. It returns the connection to the pool when the body
// was read to its end, the request was written completely and the endpoint keeps
// the connection open. Otherwise it closes the connection.
func (r *Response) Close() {
	if r.closed {
		return
	}
	if !r.reusable() || !r.stopCancel() {
		r.Abort()
		return
	}
	r.closed = true
	r.pool.release(r.target, r.conn, r.keepAliveTimeout(), r.idleLimit)
}

// reusable reports whether the connection can carry another request. It waits up to writeGrace for the end of the
// write.
func (r *Response) reusable() bool {
	if !r.Body.complete || r.Body.untilClose || r.Header.ConnectionClose() || r.conn.reader.Buffered() > 0 {
		return false
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-r.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Abort closes the connection, which signals the endpoint to stop processing the request.
func (r *Response) Abort() {
	if r.closed {
		return
	}
	r.closed = true
	r.stopCancel()
	r.conn.abort()
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header field, or 0 without one.
func (r *Response) keepAliveTimeout() time.Duration {
	for parameter := range strings.SplitSeq(string(r.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
