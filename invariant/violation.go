// Package invariant counts and reports violated invariants.
package invariant

// Violation describes an invariant that did not hold.
type Violation struct {
	// Name identifies the invariant, for example "claim/run_twice".
	Name string
	// Step is the step of the work at which it was found; Peer the other party, if any.
	Step string
	Peer string
	// Request is the id of the request concerned, if any.
	Request string
	Detail  string
}
