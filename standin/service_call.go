package standin

import (
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderIdempotencyKey is the name of the header with the idempotency key of a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method string
	Path   string
	// Key is the Idempotency-Key; "" when the call has none.
	Key  string
	Body []byte
}

// ServiceAnswer is the answer to a ServiceCall.
type ServiceAnswer struct {
	Status int
	Body   []byte
	// RetryAfter is the retry delay of a refusal; 0 means none.
	RetryAfter time.Duration
}

// Execution is a non-idempotent call that was executed.
type Execution struct {
	// Number is the position among the executions of the service, from 1.
	Number int
	Path   string
	Key    string
	Body   string
}

// isSafe reports whether repeating the call is harmless.
func (c ServiceCall) isSafe() bool {
	switch c.Method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions:
		return true
	default:
		return false
	}
}
