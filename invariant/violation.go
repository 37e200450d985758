// Package invariant counts, logs and records violated invariants. The packages that
// check an invariant report a violation to a Checker.
package invariant

// Violation describes an invariant that did not hold.
type Violation struct {
	// Name identifies the invariant, for example "claim/granted_twice".
	Name string
	// Step is the processing step that detected the violation; Peer identifies the other instance or
	// the endpoint concerned, if any.
	Step string
	Peer string
	// Request is the id of the request concerned, if any.
	Request string
	Detail  string
}
