package objectapi

// Call is a request that a decision package wants made. ID is chosen by that
// package and returns in the matching Done.
type Call struct {
	ID      uint64
	Request Request
}

// Done is the result of a Call.
type Done struct {
	ID    uint64
	Reply Reply
	// Err is nil, or wraps one of the sentinel errors of this package.
	Err error
}
