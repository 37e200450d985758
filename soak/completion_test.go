package soak

import "knapweedhoist/engine"

// completion is the work of a model request.
func completion(prompt string) *engine.Request {
	return &engine.Request{Model: "m", Messages: []engine.Message{{Role: "user", Content: prompt}}}
}
