package request

// AttemptResult is the way in which an attempt ended.
type AttemptResult uint8

// Results of attempts.
const (
	// ResultUnsent means that no byte reached the endpoint, for example because dialling failed.
	ResultUnsent AttemptResult = iota + 1
	// ResultRefused means that the endpoint's answer proves that it did not run the request.
	ResultRefused
	// ResultBroken means that the connection failed or the answer timed out; the request may have run.
	ResultBroken
	// ResultSuperseded means that the attempt was cancelled because another one replaced it, for example after a reclaim.
	ResultSuperseded
	// ResultDone means that the endpoint's answer is complete, or that a plain service's answer exceeds its size limit.
	ResultDone
)

// String returns the name of the result in the timeline.
func (r AttemptResult) String() string {
	switch r {
	case ResultUnsent:
		return "unsent"
	case ResultRefused:
		return "refused"
	case ResultBroken:
		return "broken"
	case ResultSuperseded:
		return "moved"
	case ResultDone:
		return "done"
	default:
		return "invalid"
	}
}

// attempt is the state of an attempt that has not ended.
type attempt struct {
	number int
	sent   bool
	// live is false once another attempt superseded this one or the request finished or moved; events of the attempt are
	// then dropped.
	live bool
}
