package upstream

import "errors"

// Sentinel errors of an exchange.
var (
	// ErrNotSent: no connection could be opened, nothing reached the endpoint.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken: the connection or the answer broke off; the request may have run.
	ErrBroken = errors.New("upstream: exchange broke off")
	// ErrTruncated: the body ended before its framing said so.
	ErrTruncated = errors.New("upstream: truncated body")
)
