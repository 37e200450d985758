package claim

import (
	"strings"
	"time"
)

// Ask is a request for the claim of a key.
type Ask struct {
	// Ref returns in the Answer; the caller chooses it.
	Ref       uint64
	Key, Body Hash
	RequestID string
	// From is the incarnation of the instance that asks. Only the request's own home is granted a claim.
	From string
	// Retention is how long the key stays claimed. Default 24 h.
	Retention time.Duration
	// Deadline: an ask that is not durable by then is answered with Unavailable, and the request sends nothing
	// after it. All asks of a request have the same deadline, at most 1 h ahead.
	Deadline time.Time
}

// Home returns the incarnation of the instance that a request id names.
func Home(requestID string) string {
	i := strings.LastIndexByte(requestID, '-')
	if i < 0 {
		return ""
	}
	return requestID[:i]
}
