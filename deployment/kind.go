package deployment

// Kind tells how the requests of a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota + 1
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events; they run at most
	// once unless the route is resumable.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}
