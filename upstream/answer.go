package upstream

import (
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is the response of an endpoint. It is not safe for concurrent use.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body returns io.EOF only when the body is complete by its framing.
	Body *Body

	pool *Pool
	peer Peer
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
func (a *Answer) initBody(isHead bool) {
	status := a.Header.StatusCode()
	length := a.Header.ContentLength()
	switch {
	case isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		a.Body = &Body{reader: strings.NewReader(""), remaining: 0}
	case length >= 0:
		a.Body = &Body{reader: io.LimitReader(a.conn.reader, int64(length)), remaining: length}
	case length == -1:
		a.Body = &Body{reader: httputil.NewChunkedReader(a.conn.reader), trailerReader: a.conn.reader, remaining: -1}
	default:
		a.Body = &Body{reader: a.conn.reader, remaining: -1, untilClose: true}
	}
}

// Close ends the exchange. It returns the connection to the pool when the body
// was read to its end, the request was written completely and the endpoint keeps
// the connection open. Otherwise it closes the connection.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	if !a.reusable() || !a.stopCancel() {
		a.Abort()
		return
	}
	a.closed = true
	a.pool.release(a.peer, a.conn, a.keepAliveTimeout(), a.idleLimit)
}

// reusable reports whether the connection can carry another request. It waits up to writeGrace for the end of the write.
func (a *Answer) reusable() bool {
	if !a.Body.complete || a.Body.untilClose || a.Header.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		return false
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-a.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Abort closes the connection, which signals the endpoint to stop processing the request.
func (a *Answer) Abort() {
	if a.closed {
		return
	}
	a.closed = true
	a.stopCancel()
	_ = a.conn.Close()
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header field, or 0 without one.
func (a *Answer) keepAliveTimeout() time.Duration {
	for parameter := range strings.SplitSeq(string(a.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
