package claim

import (
	"strings"
	"time"
)

// Request asks for the claim of a key. Comments of this package call it a claim request; "the request" is the caller's
// request with the id RequestID.
type Request struct {
	// Ref is chosen by the caller and copied to the Answer.
	Ref uint64
	// Key and Body are the hashes of the idempotency key and of the body of the call.
	Key, Body Hash
	RequestID string
	// From is the incarnation of the instance that sends the claim request. Only the request's home is granted a claim.
	From string
	// Retention is how long the key stays claimed after the deadline, or after the end of the call if that is later.
	// Default 24 h.
	Retention time.Duration
	// Deadline is the time after which the claim request is answered with Unavailable; the request sends no call after
	// it. All claim requests of one RequestID have the same deadline, at most 1 h ahead.
	Deadline time.Time
}

// Home returns the incarnation of a request's home, the instance that registered the request first. It is the part of
// the request id before the last hyphen; Home returns "" if there is none.
func Home(requestID string) string {
	i := strings.LastIndexByte(requestID, '-')
	if i < 0 {
		return ""
	}
	return requestID[:i]
}
