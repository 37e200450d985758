package membership

// State of an entry instance.
type State uint8

// States of an entry instance. Only a live one is chosen as an owner.
const (
	// Listed: known from the list, never heard of otherwise.
	Listed State = iota
	Live
	Suspect
	Dead
	// Leaving is final for the incarnation.
	Leaving
)

// String returns the state's name for tables and logs.
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
