package claim

// Verdict answers an Ask.
type Verdict uint8

// Verdicts.
const (
	// Granted: the record is durable and the request may send its call once.
	Granted Verdict = iota + 1
	// InProgress: Holder has the key with the same body. The asker asks again until its own deadline.
	InProgress
	// Finished: the call ran; Status and, when Kept, the answer apply.
	Finished
	// Mismatch: the key was used with a different body.
	Mismatch
	// NotOwner: another instance owns the shard.
	NotOwner
	// Unavailable: nothing was granted. A record may still become durable: the home sends a Finish with Released.
	Unavailable
)

// Answer is the one answer to an Ask.
type Answer struct {
	Ref     uint64
	Verdict Verdict
	// Holder is the request that has or had the key.
	Holder      string
	Status      int
	ContentType string
	Body        []byte
	Kept        bool
}
