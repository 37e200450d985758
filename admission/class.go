package admission

import "knapweedhoist/engine"

// Class is the length class of a request.
type Class uint8

// Length classes.
const (
	ClassShort Class = iota + 1
	ClassLong
)

// String returns the name of the class for logs and tables.
func (c Class) String() string {
	if c == ClassShort {
		return "short"
	}
	return "long"
}

// Priority returns the engine priority of the class.
func (c Class) Priority() engine.Priority {
	if c == ClassShort {
		return engine.PriorityShort
	}
	return engine.PriorityLong
}
