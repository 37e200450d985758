package forward

import "fmt"

// cause tells why an attempt, or a request, got no answer of an endpoint.
type cause uint8

const (
	// causeNotSent: nothing reached an endpoint.
	causeNotSent cause = iota + 1
	// causeNotRun: the endpoint stated that it did not run the request.
	causeNotRun
	// causeBroken: the exchange broke off, or the answer was not the endpoint's whole answer.
	causeBroken
	// causeTimeout: no answer within the route's timeout.
	causeTimeout
	// causeCallerGone: the caller closed its connection.
	causeCallerGone
	// causeNoEndpoint: no endpoint is left to send to.
	causeNoEndpoint
)

func (c cause) String() string {
	switch c {
	case causeNotSent:
		return "not sent"
	case causeNotRun:
		return "not run"
	case causeBroken:
		return "broken"
	case causeTimeout:
		return "timeout"
	case causeCallerGone:
		return "caller gone"
	default:
		return "no endpoint"
	}
}

// failure is an attempt without an answer.
type failure struct {
	cause cause
	err   error
}

// Error implements error.
func (f *failure) Error() string {
	if f.err == nil {
		return f.cause.String()
	}
	return fmt.Sprintf("%v: %v", f.cause, f.err)
}

// Unwrap returns the cause's error.
func (f *failure) Unwrap() error { return f.err }
