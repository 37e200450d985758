package invariant

// Checker receives every violated invariant. Implementations are safe for
// concurrent use.
type Checker interface {
	Violated(violation Violation)
}
