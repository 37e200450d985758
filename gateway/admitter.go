package gateway

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
)

// Admitter decides whether a request is accepted. Implementations are safe for
// concurrent use and do not block.
type Admitter interface {
	Admit(now time.Time, ask Ask) Decision
}

// Ask describes a received request.
type Ask struct {
	RequestID    string
	Team         *catalog.Team
	Service      *catalog.Service
	PromptTokens int
	// MaxTokens is the caller's limit of generated tokens, 0 without one.
	MaxTokens int
	Deadline  time.Time
}

// Decision is the answer to an Ask.
type Decision struct {
	Admitted bool
	// Step names the policy that refused, for example "quota".
	Step string
	// Limited: the team is over its own limit (429); otherwise the system is short of capacity (503).
	Limited bool
	// Detail is a short text for the caller.
	Detail     string
	RetryAfter time.Duration
	// Done, if not nil, is called once when an admitted request ends here, with the
	// usage of a whole model answer or nil. It does not block.
	Done func(usage *engine.Usage)
}
