package claim

// AckResult is the result of a Finish.
type AckResult uint8

// Results of a Finish.
const (
	// Stored means that the end of the claim is durable, or that the claim was cancelled before its record was sent.
	Stored AckResult = iota + 1
	// NoClaim means that this instance's copy of the log has no claim of the request. A former owner that has not yet
	// detected the takeover returns it too, so the home repeats its report for some time.
	NoClaim
	// Retry means that this instance is not the owner, lost the ownership or a takeover before the end was durable, or has
	// MaxPending operations pending. The home sends its report to the owner again.
	Retry
	// Refused means that the sender is not the request's home, or reports the end of a call whose claim was never
	// granted.
	Refused
)

// Ack answers a Finish. Each Finish gets exactly one.
type Ack struct {
	Ref    uint64
	Result AckResult
}
