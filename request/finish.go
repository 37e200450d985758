package request

import (
	"time"

	"knapweedhoist/engine"
)

// Finish describes how a request ended.
type Finish struct {
	Outcome Outcome
	// FinishReason is the engine's finish reason for a complete answer: "stop" or "length"; "" otherwise.
	FinishReason string
	// Usage is set for a complete answer of a model, nil otherwise.
	Usage *engine.Usage
	// Status is the HTTP status of a plain service's answer or of the problem document for a failure; 0 for a complete
	// answer of a model.
	Status int
	// Step names the stage that failed, such as "choose", "claim", "deadline", "endpoint" or "answer"; "" if the request
	// did not fail.
	Step string
	// Detail is a short description of a failure for the caller.
	Detail string
	// RetryAfter is the time after which the caller may try again, 0 if unknown.
	RetryAfter time.Duration
	// Header and Body are the header fields and the body of a plain service's answer.
	Header []Field
	Body   []byte
}

// Failed reports whether the request ended without an answer that the caller can get.
func (f *Finish) Failed() bool {
	return f.Step != ""
}

// ContentType returns the Content-Type of a plain service's answer, or "" if it has none.
func (f *Finish) ContentType() string {
	for _, field := range f.Header {
		if field.Name == "Content-Type" {
			return field.Value
		}
	}
	return ""
}
