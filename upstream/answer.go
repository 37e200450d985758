package upstream

import (
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is an endpoint's answer. One goroutine uses it.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body ends with io.EOF only when the framing says that it is complete.
	Body *Body

	pool *Pool
	peer Peer
	// idleLimit is that of the request.
	idleLimit int
	conn      *conn
	written   chan error
	unhook    func() bool
	closed    bool
}

// frame sets the body up after a head was read.
func (a *Answer) frame(head bool) {
	status := a.Header.StatusCode()
	length := a.Header.ContentLength()
	switch {
	case head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		a.Body = &Body{reader: strings.NewReader(""), left: 0}
	case length >= 0:
		a.Body = &Body{reader: io.LimitReader(a.conn.reader, int64(length)), left: length}
	case length == -1:
		a.Body = &Body{reader: httputil.NewChunkedReader(a.conn.reader), chunked: a.conn.reader, left: -1}
	default:
		a.Body = &Body{reader: a.conn.reader, left: -1, toEnd: true}
	}
}

// Close ends the exchange. The connection is kept when the answer was read to
// its end and the endpoint keeps it.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	if !a.reusable() || !a.unhook() {
		a.Abort()
		return
	}
	a.closed = true
	a.pool.release(a.peer, a.conn, a.keepFor(), a.idleLimit)
}

func (a *Answer) reusable() bool {
	if !a.Body.complete || a.Body.toEnd || a.Header.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		return false
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Abort closes the connection, which tells the endpoint to stop working on the request.
func (a *Answer) Abort() {
	if a.closed {
		return
	}
	a.closed = true
	a.unhook()
	_ = a.conn.Close()
}

// keepFor returns the time of the Keep-Alive field, 0 when the endpoint states none.
func (a *Answer) keepFor() time.Duration {
	for part := range strings.SplitSeq(string(a.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
