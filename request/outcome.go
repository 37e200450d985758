package request

// Outcome is what is known about the execution of a finished request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun means that the request is proved not to have run; the caller may submit it again.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan means that an endpoint ran the request to the end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may have run, completely or in part.
	OutcomeUnknown Outcome = "unknown"
)
