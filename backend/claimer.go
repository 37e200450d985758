package backend

import (
	"context"
	"errors"
	"time"

	"knapweedhoist/request"
)

// ErrClaimUnavailable means that the claim request got no verdict, for example because the owner of the key's shard of the
// claim log is unknown or did not answer. A later request may get one.
var ErrClaimUnavailable = errors.New("backend: claim unavailable")

// Claimer requests claims of idempotency keys. Implementations are safe for concurrent use.
type Claimer interface {
	// Claim requests a claim and waits for the verdict, at most until ctx ends. After an error the claim may still become
	// durable; the Runner repeats the request, or calls Finish with Released.
	Claim(ctx context.Context, claim Claim) (Verdict, error)
	// Finish reports how a claim ended. It does not block; the implementation repeats the report until it is durable
	// or finally refused, or the instance stops.
	Finish(result ClaimResult)
}

// Claim identifies a keyed call and the request that claims the right to run it.
type Claim struct {
	Team    string
	Service string
	Key     string
	// CallHash identifies the call's method, path, query and body.
	CallHash  [16]byte
	RequestID request.ID
}

// VerdictKind says how the owner of the key's shard of the claim log decided on a claim.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// VerdictGranted means that the claim is durable and belongs to the request.
	VerdictGranted VerdictKind = iota + 1
	// VerdictInProgress means that Holder has the claim and has not finished.
	VerdictInProgress
	// VerdictDone means that Holder ran the call.
	VerdictDone
	// VerdictMismatch means that the key was used for a call with a different CallHash.
	VerdictMismatch
)

// Verdict is the reply to a claim request.
type Verdict struct {
	Kind VerdictKind
	// Holder is the request that has the claim.
	Holder request.ID
	// Answer is the stored answer of VerdictDone; nil if it was not kept.
	Answer *StoredAnswer
}

// StoredAnswer is the answer of a finished call, as stored in the claim log.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ClaimResult reports how a claim ended.
type ClaimResult struct {
	Claim Claim
	// Released is set if the call did not run, so that the key may be claimed again.
	Released bool
	// Answer is the answer of a call that ran; nil if the call did not run, or if its answer exceeded the size limit.
	Answer *StoredAnswer
	// EndedAt is when the claim ended.
	EndedAt time.Time
}
