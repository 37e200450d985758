package request

// Event is one event of a request's answer: a token or the finish.
type Event struct {
	// ID numbers the events of a request from 1, without gaps.
	ID uint64
	// Token is generated text, nil in the last event. It must not be modified.
	Token []byte
	// Finish is set only in the last event.
	Finish *Finish
}
