package forward

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
)

// bodyMemoryWait is how long a request waits altogether for memory for its body before it is refused. Meanwhile the caller is
// kept from sending more by the kernel's receive window.
const bodyMemoryWait = time.Second

// errTruncatedBody is the error of a body with fewer bytes than its length.
var errTruncatedBody = errors.New("request body shorter than its length")

// readBody reads the request's body into memory that Config.MaxBodyMemory bounds for all requests together.
//
// Load pattern: many callers send bodies as large as the configuration allows. Those that find no memory wait or are refused,
// instead of ending the process with all its requests.
func (e *exchange) readBody() *refusal {
	stream := e.ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	length, maxBytes := e.ctx.Request.Header.ContentLength(), e.server.cfg.MaxBodyBytes
	if length > maxBytes {
		return e.refuseBody(boundedbuffer.ErrTooLarge)
	}
	size := initialBufferBytes
	if length >= 0 {
		size = length + 1 // the end is found by a read beyond the last byte
	}
	e.bodyBuffer = boundedbuffer.New(e.server.bodies, size)
	e.bodyBuffer.WaitUpTo(bodyMemoryWait)
	if size > boundedbuffer.FreeBytes {
		if err := e.bodyBuffer.Resize(size, nil); err != nil {
			return e.refuseBody(err)
		}
	}
	body, err := e.bodyBuffer.ReadAll(stream, maxBytes)
	if err == nil && length >= 0 && len(body) < length {
		err = errTruncatedBody
	}
	if err != nil {
		return e.refuseBody(err)
	}
	e.body = body
	return nil
}

// refuseBody returns the answer to a request whose body cannot be read. Its connection is closed, since the rest of the body may
// follow.
func (e *exchange) refuseBody(err error) *refusal {
	e.ctx.SetConnectionClose()
	switch {
	case errors.Is(err, boundedbuffer.ErrNoMemory):
		e.server.deps.Metrics.BodiesRefused.Inc(1)
		wait := bodyMemoryWait/2 + time.Duration(e.server.deps.Random()*float64(bodyMemoryWait))
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "no memory for the body", retryAfter: wait}
	case errors.Is(err, boundedbuffer.ErrTooLarge):
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "body too large"}
	case isTimeout(err):
		return &refusal{status: fasthttp.StatusRequestTimeout, reason: "body not received in time"}
	case errors.Is(err, errTruncatedBody), errors.Is(err, io.ErrUnexpectedEOF):
		return &refusal{status: fasthttp.StatusBadRequest, reason: "body incomplete"}
	default:
		return &refusal{status: fasthttp.StatusBadRequest, reason: "body not readable: " + err.Error()}
	}
}

// releaseBody returns the memory of the body. It may be called more than once.
func (e *exchange) releaseBody() {
	if e.bodyBuffer != nil {
		e.bodyBuffer.Release()
		e.bodyBuffer = nil
	}
}
