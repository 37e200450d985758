package catalog

import (
	"fmt"
	"strings"
)

// Problem is one validation failure of a document.
type Problem struct {
	// Kind and Name identify the item; Name is "#n", with n counted from 0, for an item without a name.
	Kind ItemKind
	Name string
	// Field is the JSON path of the field in the item, for example "idempotent[0].method".
	Field string
	// Allowed states the rule that the field or item violates, for example "must be set".
	Allowed string
}

// String formats the problem as one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s %q: %s", p.Kind, p.Name, p.Allowed)
	}
	return fmt.Sprintf("%s %q: %s: %s", p.Kind, p.Name, p.Field, p.Allowed)
}

// ValidationError holds all problems of a document; it wraps ErrInvalid.
type ValidationError struct {
	Problems []Problem
}

// Error returns all problems on one line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(lines, "; ")
}

// Unwrap returns ErrInvalid.
func (e *ValidationError) Unwrap() error { return ErrInvalid }
