package request

import "errors"

// Sentinel errors of this package.
var (
	ErrInvalidID = errors.New("request: invalid id")
	// ErrNotFound: no request with this id is known here.
	ErrNotFound = errors.New("request: not found")
	// ErrForbidden: the request belongs to another team.
	ErrForbidden = errors.New("request: belongs to another team")
	// ErrFull: the registry is at its limit of requests or bytes.
	ErrFull = errors.New("request: registry full")
	// ErrExists: a request with this id is already registered.
	ErrExists = errors.New("request: id already registered")
	// ErrFinished: the request has finished.
	ErrFinished = errors.New("request: finished")
	// ErrMoved: another instance owns the request now; callers re-attach there.
	ErrMoved = errors.New("request: moved to another instance")
	// ErrSuperseded: the attempt is not a live attempt of the request.
	ErrSuperseded = errors.New("request: attempt superseded")
	// ErrSentOnce: a call that must not be repeated has been sent already.
	ErrSentOnce = errors.New("request: not idempotent and already sent")
	// ErrNotClaimed: the request needs a claim and has none.
	ErrNotClaimed = errors.New("request: not claimed")
	// ErrState: the call does not fit the request's state.
	ErrState = errors.New("request: call does not fit the state")
	// ErrIndex: the index of a token is not the next one of the answer.
	ErrIndex = errors.New("request: token out of order")
	// ErrTooLarge: the answer exceeds its limit.
	ErrTooLarge = errors.New("request: answer too large")
	// ErrTooManyReaders: the request has its largest number of readers.
	ErrTooManyReaders = errors.New("request: too many readers")
	// ErrUnavailable: the instance that knows the request could not be asked.
	ErrUnavailable = errors.New("request: home instance unavailable")
)
