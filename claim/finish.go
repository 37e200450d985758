package claim

// Finish reports how a granted claim ended, or gives up one that was asked for.
type Finish struct {
	// Ref returns in the Ack; the caller chooses it.
	Ref       uint64
	Key       Hash
	RequestID string
	// From is the incarnation of the instance that reports. Only the request's own home may finish its claim.
	From string
	// Released: the call did not run and the request will never send it; the key may be claimed again.
	Released bool
	// Status, ContentType and Answer apply when it is not released. An answer over MaxAnswerBytes is not kept.
	Status      int
	ContentType string
	Answer      []byte
	Kept        bool
}
