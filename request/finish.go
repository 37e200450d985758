package request

import (
	"time"

	"knapweedhoist/engine"
)

// Finish describes how a request ended.
type Finish struct {
	Outcome Outcome
	// Reason is the engine's finish reason for a complete answer: "stop" or "length"; "" otherwise.
	Reason string
	// Usage is set for a complete answer of a model, nil otherwise.
	Usage *engine.Usage
	// Status is the HTTP status of a plain answer or of a problem; 0 for a complete answer of a model.
	Status int
	// Step is the step at which a request failed, "" otherwise.
	Step string
	// Detail is a short description of a failure for the caller.
	Detail string
	// RetryAfter is the time after which the caller may try again, 0 if unknown.
	RetryAfter time.Duration
	// Header and Body are the header fields and the body of a plain service's answer.
	Header []Field
	Body   []byte
}

// Failed reports whether the request ended without an answer from an endpoint.
func (f *Finish) Failed() bool {
	return f.Step != ""
}

// ContentType returns the Content-Type of a plain answer, or "" if it has none.
func (f *Finish) ContentType() string {
	for _, field := range f.Header {
		if field.Name == "Content-Type" {
			return field.Value
		}
	}
	return ""
}
