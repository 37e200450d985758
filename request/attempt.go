package request

// Result tells how an attempt ended.
type Result uint8

// Results of attempts.
const (
	// ResultUnsent: no byte reached the endpoint, for example because dialling failed.
	ResultUnsent Result = iota + 1
	// ResultRefused: the endpoint proved that it did not run the request.
	ResultRefused
	// ResultBroken: the connection broke or went silent; the request may have run.
	ResultBroken
	// ResultMoved: the attempt was given up for another one, for example after a reclaim.
	ResultMoved
	// ResultDone: the endpoint answered to the end.
	ResultDone
)

// String returns the result's name for the timeline.
func (r Result) String() string {
	switch r {
	case ResultUnsent:
		return "unsent"
	case ResultRefused:
		return "refused"
	case ResultBroken:
		return "broken"
	case ResultMoved:
		return "moved"
	case ResultDone:
		return "done"
	default:
		return "invalid"
	}
}

// attempt is a try at an endpoint that has not ended.
type attempt struct {
	number int
	sent   bool
	// live: its events count. It is false once another attempt replaced it.
	live bool
}
