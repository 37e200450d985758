package soak

import "knapweedhoist/engine"

// completion returns the body of a model request with one user message.
func completion(prompt string) *engine.Request {
	return &engine.Request{Model: "m", Messages: []engine.Message{{Role: "user", Content: prompt}}}
}
