package operator

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"knapweedhoist/catalog"
)

// Sentinel errors.
var (
	// ErrNotFound means that the item or request is not known.
	ErrNotFound = errors.New("operator: not found")
	// ErrInvalid means that the change or the query is refused; nothing changed.
	ErrInvalid = errors.New("operator: invalid")
	// ErrUnavailable means that the platform gave no answer. The change may have
	// been stored; sending it again with the same operation id is safe.
	ErrUnavailable = errors.New("operator: platform unavailable")
)

// ConflictError means that the item was changed since the base revision.
type ConflictError struct {
	Current uint64
	Theirs  catalog.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("operator: %s %q was changed by %s in revision %d",
		e.Theirs.Kind, e.Theirs.Name, e.Theirs.Operator, e.Theirs.Revision)
}

func stepError(step string, err error) error {
	return oops.With("step", step).Wrap(err)
}
