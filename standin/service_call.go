package standin

import (
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderIdempotencyKey names the header that identifies repeats of the same call.
const HeaderIdempotencyKey = "Idempotency-Key"

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method string
	Path   string
	// Key is the Idempotency-Key; "" when the call has none.
	Key  string
	Body []byte
}

// ServiceAnswer is the reply of the service: a result or a refusal.
type ServiceAnswer struct {
	Status int
	Body   []byte
	// RetryAfter is how long a refused caller should wait before it retries; 0 means no such advice.
	RetryAfter time.Duration
}

// Execution records one execution of a call with an unsafe method.
type Execution struct {
	// Number is the position among the executions of the service, from 1.
	Number int
	Path   string
	Key    string
	Body   string
}

// isSafe reports whether the call has a safe HTTP method, one that changes nothing.
func (c ServiceCall) isSafe() bool {
	switch c.Method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions:
		return true
	default:
		return false
	}
}
