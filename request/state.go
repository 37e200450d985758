package request

// State is the state of a request in its lifecycle.
type State uint8

// States of a request. StateFinished and StateMoved are final.
const (
	// StateReceived means that the request is registered and not yet accepted.
	StateReceived State = iota + 1
	// StateAdmitted means that the request was accepted; from then on the instance must report an outcome to the caller.
	StateAdmitted
	// StateFinished means that the request has its final Finish; no event follows.
	StateFinished
	// StateMoved means that a peer owns the request; this instance neither sends it nor answers the caller.
	StateMoved
)

// String returns the state's name for logs and tables.
func (s State) String() string {
	switch s {
	case StateReceived:
		return "received"
	case StateAdmitted:
		return "admitted"
	case StateFinished:
		return "finished"
	case StateMoved:
		return "moved"
	default:
		return "unknown"
	}
}
