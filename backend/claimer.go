package backend

import (
	"context"
	"errors"
	"time"

	"knapweedhoist/request"
)

// ErrClaimUnavailable means that no claim can be granted at the moment; nothing was granted.
var ErrClaimUnavailable = errors.New("backend: claim unavailable")

// Claimer grants claims of idempotency keys. Implementations are safe for
// concurrent use.
type Claimer interface {
	// Claim asks for a claim until it has a verdict or ctx ends. After an error
	// the claim may still become durable; Finish with Released follows.
	Claim(ctx context.Context, claim Claim) (Verdict, error)
	// Finish reports how a claim ended. It does not block; the implementation
	// repeats the report until it is durable or the instance ends.
	Finish(end ClaimEnd)
}

// Claim asks for the right to run a keyed call.
type Claim struct {
	Team      string
	Service   string
	Key       string
	BodyHash  [16]byte
	RequestID request.ID
}

// VerdictKind is the answer to a claim.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// VerdictGranted: the claim is durable and belongs to the request.
	VerdictGranted VerdictKind = iota + 1
	// VerdictInProgress: Holder has the claim and has not finished.
	VerdictInProgress
	// VerdictDone: Holder ran the call.
	VerdictDone
	// VerdictMismatch: the key was used with another body.
	VerdictMismatch
)

// Verdict is the answer to a claim.
type Verdict struct {
	Kind VerdictKind
	// Holder is the request that has the claim.
	Holder request.ID
	// Answer is the stored answer of VerdictDone, nil when it was not kept.
	Answer *StoredAnswer
}

// StoredAnswer is the answer of a finished call as the claim log keeps it.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ClaimEnd reports how a claim ended.
type ClaimEnd struct {
	Claim Claim
	// Released: the call did not run, and the key may be claimed again.
	Released bool
	// Answer is the answer of a call that ran, nil when it exceeded its limit.
	Answer *StoredAnswer
	At     time.Time
}
