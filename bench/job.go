package bench

import (
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// job is one attempt inside a fake server.
type job struct {
	priority engine.Priority
	prefixes []routing.Prefix
	// known are tokens that an earlier attempt or call has computed; prefilling them again is recomputation.
	computedBefore int
	// prompt and decode are the tokens to process; imported tokens need no prefill.
	promptTokens int
	decodeTokens int
	imported     int
	// resumed: an earlier attempt was cut.
	resumed bool

	arrived          time.Time
	prefillRemaining int
	decodeRemaining  int
	cancelled        bool

	// token is called for each token, done after the last one, cut when the server stops first.
	onToken       func(first bool)
	onDone        func()
	onInterrupted func(j *job)
}

// kv is the KV memory that the job needs, in tokens.
func (j *job) kv() int { return j.promptTokens + j.decodeTokens }
