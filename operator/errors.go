package operator

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"knapweedhoist/catalog"
)

// Errors of Fleet and Configuration; a response gives their text and a matching status.
var (
	// ErrNotFound means that the item or request does not exist.
	ErrNotFound = errors.New("operator: not found")
	// ErrInvalid means that the change or a configured credential is invalid; nothing was changed.
	ErrInvalid = errors.New("operator: invalid")
	// ErrUnavailable means that the platform did not answer. The change may have
	// been stored; repeating it with the same operation id is safe.
	ErrUnavailable = errors.New("operator: platform unavailable")
)

// ConflictError means that the item was changed after the base revision.
type ConflictError struct {
	// Current is the current revision.
	Current uint64
	// Theirs is the stored change that conflicts.
	Theirs catalog.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("operator: %s %q was changed by %s in revision %d",
		e.Theirs.Kind, e.Theirs.Name, e.Theirs.Operator, e.Theirs.Revision)
}

// stepError adds the failing step to err.
func stepError(step string, err error) error {
	return oops.With("step", step).Wrap(err)
}
