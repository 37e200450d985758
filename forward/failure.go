package forward

import "fmt"

// cause is the reason why an attempt, or a request, got no usable answer from an endpoint.
type cause uint8

const (
	// causeNotSent: the request did not reach the endpoint.
	causeNotSent cause = iota + 1
	// causeNotRun: the endpoint stated that it did not run the request.
	causeNotRun
	// causeBroken: the connection broke, or the endpoint's answer was an error, invalid or incomplete.
	causeBroken
	// causeTimeout: no answer before the deadline.
	causeTimeout
	// causeCallerClosed: the caller closed its connection.
	causeCallerClosed
	// causeStopping: the instance ended the request in a planned stop.
	causeStopping
	// causeQuarantined: requests like this one, or with a part of its prompt, have crashed endpoints.
	causeQuarantined
	// causeOriginUnknown: it is not known which software version began the stream that the request goes on with.
	causeOriginUnknown
	// causeVersionGone: the stream can't go on at the software version that began it.
	causeVersionGone
	// causeNoEndpoint: every endpoint of the service is leaving, full or was tried, or it has none.
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
	case causeCallerClosed:
		return "caller gone"
	case causeStopping:
		return "instance is stopping"
	case causeQuarantined:
		return "quarantined"
	case causeOriginUnknown:
		return "software version of the stream unknown"
	case causeVersionGone:
		return "software version of the stream gone"
	default:
		return "no endpoint"
	}
}

// failure is the error of an attempt without a usable answer.
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

// Unwrap returns the underlying error, nil if there is none.
func (f *failure) Unwrap() error { return f.err }
