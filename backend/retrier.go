package backend

import "time"

// Cause tells why an attempt ended without an answer.
type Cause string

// Causes of further attempts.
const (
	// CauseReclaim: the endpoint is leaving.
	CauseReclaim Cause = "reclaim"
	// CauseRefused: the endpoint refused the work before running it, or could not be reached.
	CauseRefused Cause = "refused"
	// CauseBroken: the connection broke or went silent.
	CauseBroken Cause = "broken"
)

// Retrier decides on further attempts. It is the only place that allows them.
// Implementations are safe for concurrent use and do not block.
type Retrier interface {
	// Retry decides on another attempt after a failed one. It is not asked after
	// CauseReclaim, because accepted work survives an announced reclaim.
	Retry(now time.Time, failure Failure) (delay time.Duration, ok bool)
	// Hedge decides on a second attempt beside one that has not answered yet.
	// With start the hedge starts now; otherwise a positive again asks to be
	// asked again after that time, and zero means never.
	Hedge(now time.Time, slow Slow) (start bool, again time.Duration)
	// Succeeded counts a request that was answered, for the retry budget.
	Succeeded(service string)
}

// Failure describes a failed attempt.
type Failure struct {
	Service  string
	Endpoint string
	Cause    Cause
	// Progressed: the attempt delivered tokens, after which the next one continues.
	Progressed bool
	// Attempt is the number of the failed attempt, from 1.
	Attempt  int
	Deadline time.Time
}

// Slow describes an attempt without an answer so far.
type Slow struct {
	Service  string
	Endpoint string
	Team     string
	// PromptTokens and MaxTokens tell how long the work is; both 0 for plain calls.
	PromptTokens int
	MaxTokens    int
	// Waited is the time since the attempt was sent.
	Waited time.Duration
}
