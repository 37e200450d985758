package upstream

import "errors"

// Sentinel errors of an exchange.
var (
	// ErrNotSent means that no connection could be opened, so that nothing reached the endpoint.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken means that the connection failed, or that no valid header section of the response to this request
	// arrived. The request may have run.
	ErrBroken = errors.New("upstream: exchange failed after the connection was opened")
	// ErrTruncated means that the body ended before the end given by its framing.
	ErrTruncated = errors.New("upstream: truncated response body")
)
