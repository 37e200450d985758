package testutil

import "knapweedhoist/invariant"

// Checker is an invariant.Checker that counts violations by name and keeps the first violation of each name. It is not
// safe for concurrent use.
type Checker struct {
	Counts map[string]int
	First  map[string]invariant.Violation
}

// NewChecker returns an empty Checker.
func NewChecker() *Checker {
	return &Checker{Counts: make(map[string]int), First: make(map[string]invariant.Violation)}
}

// Violated records the violation. It implements invariant.Checker.
func (c *Checker) Violated(v invariant.Violation) {
	if c.Counts[v.Name] == 0 {
		c.First[v.Name] = v
	}
	c.Counts[v.Name]++
}
