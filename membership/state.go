package membership

// State is the state of an entry instance.
type State uint8

// States of an entry instance. Only a live one can own a key.
const (
	// Listed members are known from the list only: no heartbeat or live mark was received.
	Listed State = iota
	Live
	Suspect
	Dead
	// Leaving is final for the incarnation.
	Leaving
)

// String returns the name of the state for tables, logs and timeline events.
func (s State) String() string {
	switch s {
	case Listed:
		return "listed"
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}
