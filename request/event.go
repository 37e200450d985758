package request

// Event is one step of a request's answer.
type Event struct {
	// ID numbers the events of a request from 1, without gaps.
	ID uint64
	// Token is generated text. It must not be modified.
	Token []byte
	// Finish is set in the last event only.
	Finish *Finish
}
