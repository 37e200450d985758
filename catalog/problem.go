package catalog

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Kind and Name name the item; Name is "#n" (from 0) for an item without a name.
	Kind ItemKind
	Name string
	// Field is the JSON path of the field in the item, for example "idempotent[0].method".
	Field string
	// Allowed tells what is allowed.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s %q: %s", p.Kind, p.Name, p.Allowed)
	}
	return fmt.Sprintf("%s %q: %s: %s", p.Kind, p.Name, p.Field, p.Allowed)
}

// ValidationError lists what is wrong with a document; it wraps ErrInvalid.
type ValidationError struct {
	Problems []Problem
}

// Error lists the problems.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(lines, "; ")
}

// Unwrap returns ErrInvalid.
func (e *ValidationError) Unwrap() error { return ErrInvalid }
