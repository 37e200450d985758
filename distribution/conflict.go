package distribution

import (
	"errors"
	"fmt"

	"knapweedhoist/catalog"
)

// Errors of invalid edits.
var (
	// ErrBaseAhead means that the base revision of the edit is higher than the revision of the stored document.
	ErrBaseAhead = errors.New("distribution: base revision is ahead of the document")
	// ErrOperationReused means that a different change was stored under the same operation id.
	ErrOperationReused = errors.New("distribution: operation id was used for another change")
)

func errBaseAhead(base, revision uint64) error {
	return fmt.Errorf("%w: base %d, must be at most %d", ErrBaseAhead, base, revision)
}

func errOperationReused(change *catalog.Change) error {
	return fmt.Errorf("%w: revision %d, %s %q", ErrOperationReused, change.Revision, change.Kind, change.Name)
}

// findOperation returns the retained change with the operation id, or nil.
func findOperation(document *catalog.Document, id string) *catalog.Change {
	for i := range document.Changes {
		if document.Changes[i].OperationID == id {
			return &document.Changes[i]
		}
	}
	return nil
}

// findConflict reports whether the item changed after the edit's base revision, or may have changed in a change that the
// document no longer retains. The Result is the conflict; its ConflictingChange is set
// only when the conflicting change is retained.
func findConflict(document *catalog.Document, edit Edit) (Result, bool) {
	conflict := Result{Outcome: Conflict, Revision: document.Revision, CurrentItem: document.Item(edit.Kind, edit.Name)}
	for i := len(document.Changes) - 1; i >= 0; i-- {
		change := &document.Changes[i]
		if change.Revision <= edit.BaseRevision {
			break
		}
		if change.Kind == edit.Kind && change.Name == edit.Name {
			conflict.ConflictingChange = change
			return conflict, true
		}
	}
	return conflict, oldestRetainedRevision(document) > edit.BaseRevision+1
}

// oldestRetainedRevision returns the revision of the oldest change that the document retains, or the next revision when
// it retains none.
func oldestRetainedRevision(document *catalog.Document) uint64 {
	if len(document.Changes) == 0 {
		return document.Revision + 1
	}
	return document.Changes[0].Revision
}
