package gateway

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
)

// Admitter decides whether a request is accepted. Implementations must be safe
// for concurrent use and must not block.
type Admitter interface {
	Admit(now time.Time, req AdmissionRequest) Decision
}

// AdmissionRequest describes a received request to an Admitter.
type AdmissionRequest struct {
	RequestID string
	Team      *catalog.Team
	Service   *catalog.Service
	// EstimatedPromptTokens is the estimated length of the prompt in tokens; 0 for a plain service.
	EstimatedPromptTokens int
	// MaxTokens is the caller's limit on generated tokens; 0 means no limit.
	MaxTokens int
	Deadline  time.Time
}

// Decision is the result of an admission request.
type Decision struct {
	Admitted bool
	// Step names the policy that rejected the request, for example "quota".
	Step string
	// OverTeamLimit is set if the team is over its own limit (status 429). A rejection without it
	// means that the system lacks capacity (status 503).
	OverTeamLimit bool
	// Detail is sent to the caller in the problem document.
	Detail     string
	RetryAfter time.Duration
	// Done, if not nil, is called once when an admitted request ends on this instance. The
	// usage is that of a complete model answer, otherwise nil. Done must not block.
	Done func(usage *engine.Usage)
}
