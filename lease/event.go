package lease

// EventKind tells what happened to the lease at this instance.
type EventKind uint8

// Kinds of events.
const (
	// Acquired: this instance became the holder, with a new fence.
	Acquired EventKind = iota + 1
	// Lost: the lease expired here or another instance took it over.
	Lost
	// Released: the release is stored; the instance may stop.
	Released
)

// Event is a change that the duty's code has to know.
type Event struct {
	Kind  EventKind
	Fence uint64
}
