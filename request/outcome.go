package request

// Outcome tells what is known about the execution of a finished request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun: proved not to have run; the caller may submit it again.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan: an endpoint ran it to its end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown: it may have run, wholly or in part.
	OutcomeUnknown Outcome = "unknown"
)
