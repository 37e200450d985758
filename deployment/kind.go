package deployment

// Kind determines whether the requests of a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe: a request runs at most once.
	Unsafe Kind = iota + 1
	// Safe: a request may run more than once.
	Safe
	// Stream: the answer is a stream of events; a request runs at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind for logs.
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
