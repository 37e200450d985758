package lease

import "knapweedhoist/objectapi"

// EventKind is the kind of a change of the lease at this instance.
type EventKind uint8

// Kinds of events.
const (
	// Acquired: this instance became the holder, with a new fencing token, or renewed the lease after Lost before any other
	// instance took it over, with the same fencing token.
	Acquired EventKind = iota + 1
	// Lost: the lease expired at this instance, another instance took it over, the object was deleted, or the store returned
	// from an older copy.
	Lost
	// Released: the release is stored, or there is no lease to release; the instance may stop.
	Released
)

// Event reports a change of the lease to the code that runs the duty.
type Event struct {
	Kind EventKind
	// Fence is the fencing token of the last observed record: that of the new holder when Lost follows a takeover, 0 when
	// the object does not exist.
	Fence uint64
	// Version is the version of that record, 0 when the object does not exist. Era is the era of the store in which it was read,
	// 0 when the store names none.
	Version objectapi.Version
	Era     objectapi.Era
}
