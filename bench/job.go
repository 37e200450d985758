package bench

import (
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// job is one attempt as a fake server processes it.
type job struct {
	priority engine.Priority
	prefixes []routing.Prefix
	// computedBefore counts prompt tokens that an earlier attempt or call has computed. Their prefill counts as
	// recomputation.
	computedBefore int
	// promptTokens and decodeTokens are the tokens to process. Imported tokens need no prefill.
	promptTokens int
	decodeTokens int
	imported     int
	// resumed is set if an earlier attempt of the call was interrupted by the stop of its server.
	resumed bool

	arrived          time.Time
	prefillRemaining int
	decodeRemaining  int
	cancelled        bool

	// onToken is called for each token, onDone after the last one, and onInterrupted if the server stops before that.
	onToken       func(first bool)
	onDone        func()
	onInterrupted func(j *job)
}

// kv returns the KV memory that the job needs, in tokens.
func (j *job) kv() int { return j.promptTokens + j.decodeTokens }
