package upstream

import "errors"

// Errors of Pool.Do (ErrNotSent, ErrBroken) and Body.Read (ErrTruncated).
var (
	// ErrNotSent means that no connection could be opened, so that nothing reached the endpoint.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken means that a connection was available but the exchange failed before a valid header section of the
	// response to this request arrived. The request may have run.
	ErrBroken = errors.New("upstream: exchange failed after the connection was opened")
	// ErrTruncated means that the connection or the framing failed before the end of the body. The request may have run.
	ErrTruncated = errors.New("upstream: truncated response body")
)
