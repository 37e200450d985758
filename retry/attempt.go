package retry

import "time"

// Attempt describes a failed attempt that may be retried, or a slow one that may be hedged.
type Attempt struct {
	Service string
	// Number is the number of attempts of the request so far, this one included.
	Number int
	// Repeatable is set if the call is idempotent or resumable, or provably did not run.
	Repeatable bool
	// Idempotent is set if the call may run more than once, Short if the request is in the short length class. A hedge
	// needs both.
	Idempotent bool
	Short      bool
	// ReclaimAnnounced is set if the endpoint left after a reclaim notice. The next attempt is not delayed and needs no
	// budget, because accepted work must survive every announced reclaim.
	ReclaimAnnounced bool
	// DeliveredTokens is set if the failed attempt of resumable work delivered tokens. The next attempt continues after
	// them, so that it repeats only the prompt and needs no budget; without a next attempt the work of the failed one
	// would be lost.
	DeliveredTokens bool
	// RetryAfter is the least delay that the endpoint asked for; 0 if none.
	RetryAfter time.Duration
	// Deadline is when the request's answer is due; Next allows no attempt that would start after it, unless
	// ReclaimAnnounced is set.
	Deadline time.Time
}
