package invariant

// Checker is told of every violated invariant. Implementations are safe for
// concurrent use.
type Checker interface {
	Violated(violation Violation)
}
