package request

import "errors"

// Errors of this package.
var (
	// ErrInvalidID means that a text is not the text form of an ID.
	ErrInvalidID = errors.New("request: invalid id")
	// ErrNotFound means that no request with this id is registered.
	ErrNotFound = errors.New("request: not found")
	// ErrForbidden means that the request belongs to another team.
	ErrForbidden = errors.New("request: belongs to another team")
	// ErrFull means that the registry has reached its limit of requests or bytes.
	ErrFull = errors.New("request: registry full")
	// ErrExists means that a request with this id is already registered.
	ErrExists = errors.New("request: id already registered")
	// ErrFinished means that the request has finished.
	ErrFinished = errors.New("request: finished")
	// ErrMoved means that another instance owns the request; callers re-attach there.
	ErrMoved = errors.New("request: moved to another instance")
	// ErrSuperseded means that the attempt is not a live attempt of the request.
	ErrSuperseded = errors.New("request: attempt superseded")
	// ErrSentOnce means that the call must not be repeated and may have been sent already.
	ErrSentOnce = errors.New("request: not idempotent and already sent")
	// ErrNotClaimed means that the request needs a claim and has none.
	ErrNotClaimed = errors.New("request: not claimed")
	// ErrState means that the request's state does not allow the call.
	ErrState = errors.New("request: call does not fit the state")
	// ErrIndex means that the index of a token is not the next one of the answer.
	ErrIndex = errors.New("request: token out of order")
	// ErrTooLarge means that the body and the tokens exceed Config.MaxRequestBytes.
	ErrTooLarge = errors.New("request: answer too large")
	// ErrTooManyReaders means that the request has reached its limit of readers.
	ErrTooManyReaders = errors.New("request: too many readers")
	// ErrUnavailable means that the call to the instance that owns the request failed.
	ErrUnavailable = errors.New("request: home instance unavailable")
)
