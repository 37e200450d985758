package claim

// AckResult answers a Finish.
type AckResult uint8

// Results of a Finish.
const (
	// Stored: the end is durable.
	Stored AckResult = iota + 1
	// NoClaim: the log as this instance knows it has no claim of the request. A former owner that does not know yet
	// that it was replaced answers this too, so the home repeats its report for some time.
	NoClaim
	// Retry: the shard changed hands or cannot write; the home reports again, to the owner.
	Retry
	// Refused: the sender is not the request's home, or reports the end of a call that was never granted.
	Refused
)

// Ack is the one answer to a Finish.
type Ack struct {
	Ref    uint64
	Result AckResult
}
