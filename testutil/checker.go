package testutil

import "knapweedhoist/invariant"

// Checker counts violations by name and keeps the first of each.
type Checker struct {
	Counts map[string]int
	First  map[string]invariant.Violation
}

// NewChecker returns an empty Checker.
func NewChecker() *Checker {
	return &Checker{Counts: make(map[string]int), First: make(map[string]invariant.Violation)}
}

// Violated implements invariant.Checker.
func (c *Checker) Violated(v invariant.Violation) {
	if c.Counts[v.Name] == 0 {
		c.First[v.Name] = v
	}
	c.Counts[v.Name]++
}
