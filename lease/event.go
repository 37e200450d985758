package lease

// EventKind is the kind of a change of the lease at this instance.
type EventKind uint8

// Kinds of events.
const (
	// Acquired: this instance became the holder, with a new fencing token.
	Acquired EventKind = iota + 1
	// Lost: the lease expired at this instance, or another instance took it over.
	Lost
	// Released: the release is stored, or there is no lease to release; the instance may stop.
	Released
)

// Event reports a change of the lease to the code that runs the duty.
type Event struct {
	Kind  EventKind
	Fence uint64
}
