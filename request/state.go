package request

// State is the position of a request in its lifecycle.
type State uint8

// States of a request, in order.
const (
	StateReceived State = iota + 1
	// StateAdmitted: accepted, and responsible to the caller from here on.
	StateAdmitted
	// StateFinished: the finish is final; nothing follows.
	StateFinished
	// StateMoved: a peer owns the request; this instance neither sends nor answers.
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
