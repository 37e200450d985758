package upstream

import "errors"

// Errors of Pool.Do (ErrNotSent, ErrBroken), Body.Read (ErrTruncated) and both (ErrOversized).
var (
	// ErrNotSent means that no connection could be opened, so that nothing reached the endpoint.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken means that a connection was available but the exchange failed before a valid header section of the
	// response to this request arrived. The request may have run.
	ErrBroken = errors.New("upstream: exchange failed after the connection was opened")
	// ErrTruncated means that the connection or the framing failed before the end of the body. The request may have run.
	ErrTruncated = errors.New("upstream: truncated response body")
	// ErrOversized means that the endpoint sent more bytes than the bound of a header section, a chunk's size line, a
	// trailer section or the responses that are skipped. It comes with ErrBroken or ErrTruncated.
	ErrOversized = errors.New("upstream: too many bytes")
)
