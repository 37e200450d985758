package claim

// AckResult answers a Finish.
type AckResult uint8

// Results of a Finish.
const (
	// Stored: the end is durable, or the request has no claim on the key here.
	Stored AckResult = iota + 1
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
