package retry

import "time"

// Attempt describes the attempt that failed, or that may be hedged.
type Attempt struct {
	Service string
	// Number counts the request's attempts so far, from 1.
	Number int
	// Repeatable: the call is idempotent or resumable, or provably did not run.
	Repeatable bool
	// Idempotent and Short allow a hedge.
	Idempotent bool
	Short      bool
	// Announced: the endpoint left after a reclaim notice. The next attempt needs no budget, because accepted work
	// survives every announced reclaim; it is not delayed.
	Announced bool
	// Progressed: the failed attempt of resumable work delivered tokens. The next one continues after them, so that it
	// repeats only the prompt and needs no budget; without it the work of the failed attempt would be lost.
	Progressed bool
	// RetryAfter is the endpoint's hint; 0 for none.
	RetryAfter time.Duration
	Deadline   time.Time
}
