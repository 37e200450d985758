package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
)

// bodyMemoryWait is how long a request waits for memory for its body before it is refused, and the Retry-After of the refusal.
const bodyMemoryWait = time.Second

// minBodyBuffer is the initial size in bytes of the buffer for a body of unknown length.
const minBodyBuffer = 4 << 10

// readBody reads the body into memory that Config.MaxBodyMemory bounds for all requests together. The caller must release the
// buffer, after which the body is not valid. The body is always read to its end or the connection closed.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) ([]byte, *boundedbuffer.Buffer, *problem) {
	stream, size := ctx.RequestBodyStream(), minBodyBuffer
	if stream == nil {
		return nil, boundedbuffer.New(s.bodies, 0), nil
	}
	length := ctx.Request.Header.ContentLength()
	if length >= 0 {
		size = min(length, s.cfg.MaxBodyBytes) + 1 // the end is found by a read beyond the last byte
	}
	buffer := boundedbuffer.New(s.bodies, size)
	body, err := s.readInto(buffer, stream, length, size)
	if err == nil {
		return body, buffer, nil
	}
	buffer.Release()
	if !errors.Is(err, boundedbuffer.ErrNoMemory) {
		ctx.SetConnectionClose() // the rest of the body may follow
		return nil, nil, readProblem(err)
	}
	// The kernel would drop the answer if the connection were closed with unread bytes.
	if _, err := io.Copy(io.Discard, io.LimitReader(stream, int64(s.cfg.MaxBodyBytes))); err != nil {
		ctx.SetConnectionClose()
	}
	p := notRunProblem(http.StatusServiceUnavailable, "read", "there is no memory for the body")
	p.retryAfter = bodyMemoryWait
	return nil, nil, p
}

func (s *Server) readInto(buffer *boundedbuffer.Buffer, stream io.Reader, length, size int) ([]byte, error) {
	if length > s.cfg.MaxBodyBytes {
		return nil, boundedbuffer.ErrTooLarge
	}
	buffer.WaitUpTo(bodyMemoryWait)
	if size > boundedbuffer.FreeBytes {
		if err := buffer.Resize(size, nil); err != nil {
			return nil, err
		}
	}
	body, err := buffer.ReadAll(stream, s.cfg.MaxBodyBytes)
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
