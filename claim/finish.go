package claim

// Finish reports how a granted claim ended, or releases a claim that was requested.
type Finish struct {
	// Ref is chosen by the caller and copied to the Ack.
	Ref       uint64
	Key       Hash
	RequestID string
	// From is the incarnation of the instance that sends the report. Only the request's home may finish its claim.
	From string
	// Released reports whether the call did not run and the request will never send it, so that the key may be claimed
	// again.
	Released bool
	// Status, ContentType and Answer are those of the endpoint's answer, if the claim is not released. Kept requests
	// that the answer is stored. An answer over MaxAnswerBytes, or with a content type over MaxContentTypeBytes, is not
	// stored.
	Status      int
	ContentType string
	Answer      []byte
	Kept        bool
}
