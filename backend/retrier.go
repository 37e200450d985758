package backend

import "time"

// Cause is the reason why an attempt ended without an answer.
type Cause string

// Causes of failed attempts.
const (
	// CauseReclaim means that the endpoint is leaving.
	CauseReclaim Cause = "reclaim"
	// CauseRefused means that the endpoint refused the work before running it, or could not be reached.
	CauseRefused Cause = "refused"
	// CauseBroken means that the connection broke, timed out, or carried an invalid answer.
	CauseBroken Cause = "broken"
)

// Retrier decides whether a request may start further attempts. A Runner starts none that the Retrier has not allowed,
// except after CauseReclaim and when work moves away from a leaving endpoint. Implementations are safe for concurrent use
// and do not block.
type Retrier interface {
	// Retry reports whether another attempt may follow a failed one, and after which delay. It is not called after
	// CauseReclaim, because accepted work survives an announced reclaim.
	Retry(now time.Time, failure Failure) (delay time.Duration, ok bool)
	// Hedge decides whether an attempt without a token or answer so far gets a hedge. If start is true, the hedge starts now.
	// Otherwise a positive recheckAfter is the time until the next call of Hedge, and 0 means that there is none.
	Hedge(now time.Time, slow SlowAttempt) (start bool, recheckAfter time.Duration)
	// RecordSuccess reports an answered request of the service, which adds to the service's budgets of retries and hedges.
	RecordSuccess(service string)
}

// Failure describes a failed attempt.
type Failure struct {
	Service  string
	Endpoint string
	Cause    Cause
	// DeliveredTokens is set if the attempt delivered tokens, after which the next one continues.
	DeliveredTokens bool
	// Attempt is the number of the failed attempt, from 1.
	Attempt  int
	Deadline time.Time
}

// SlowAttempt describes a running attempt that may be hedged.
type SlowAttempt struct {
	Service  string
	Endpoint string
	Team     string
	// PromptTokens and MaxTokens give the length of the work in tokens; both are 0 for plain calls.
	PromptTokens int
	MaxTokens    int
	// Elapsed is the time since the attempt was started.
	Elapsed time.Duration
}
