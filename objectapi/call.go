package objectapi

// Call is a request that a state machine asks its caller to make. The state machine chooses ID; the matching CallResult
// carries the same ID.
type Call struct {
	ID      uint64
	Request Request
}

// CallResult is the result of a Call.
type CallResult struct {
	ID    uint64
	Reply Reply
	// Err is nil or wraps one of the sentinel errors of this package.
	Err error
}
