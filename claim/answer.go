package claim

// Verdict is the result of a claim request.
type Verdict uint8

// Results of a claim request.
const (
	// Granted means that the record of the claim is durable and the request may send its call once.
	Granted Verdict = iota + 1
	// InProgress means that the request Holder holds the key for the same call, by the hash in Request.Body. The
	// sender repeats the claim request until its own deadline.
	InProgress
	// Finished means that the call ran. Status is set and, if Kept, so are ContentType and Body.
	Finished
	// Mismatch means that the key was used for a different call, by the hash in Request.Body.
	Mismatch
	// NotOwner means that this instance's membership view names another owner of the shard.
	NotOwner
	// Unavailable means that nothing was granted. The record of the claim may still become durable, so the home sends a
	// Finish with Released.
	Unavailable
)

// Answer answers a claim request. Each claim request gets exactly one.
type Answer struct {
	Ref     uint64
	Verdict Verdict
	// Holder is the id of the request that holds or held the key.
	Holder string
	// Status, ContentType and Body are those of the endpoint's answer; Kept reports whether its body is stored.
	Status      int
	ContentType string
	Body        []byte
	Kept        bool
}
