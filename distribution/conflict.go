package distribution

import (
	"errors"
	"fmt"

	"knapweedhoist/catalog"
)

// Sentinel errors of invalid edits.
var (
	// ErrBaseAhead means that the base revision does not exist yet.
	ErrBaseAhead = errors.New("distribution: base revision is ahead of the document")
	// ErrOperationReused means that the operation id belongs to another change.
	ErrOperationReused = errors.New("distribution: operation id was used for another change")
)

func errBaseAhead(base, revision uint64) error {
	return fmt.Errorf("%w: base %d, must be at most %d", ErrBaseAhead, base, revision)
}

func errOperationReused(change *catalog.Change) error {
	return fmt.Errorf("%w: revision %d, %s %q", ErrOperationReused, change.Revision, change.Kind, change.Name)
}

func findOperation(document *catalog.Document, id string) *catalog.Change {
	for i := range document.Changes {
		if document.Changes[i].OperationID == id {
			return &document.Changes[i]
		}
	}
	return nil
}

// findConflict returns the conflict when the item changed after the edit's base revision, or may have changed in
// changes that are no longer kept.
func findConflict(document *catalog.Document, edit Edit) (Result, bool) {
	conflict := Result{Outcome: Conflict, Revision: document.Revision, Current: document.Item(edit.Kind, edit.Name)}
	for i := len(document.Changes) - 1; i >= 0; i-- {
		change := &document.Changes[i]
		if change.Revision <= edit.BaseRevision {
			break
		}
		if change.Kind == edit.Kind && change.Name == edit.Name {
			conflict.Other = change
			return conflict, true
		}
	}
	return conflict, oldestKept(document) > edit.BaseRevision+1
}

// oldestKept is the revision of the oldest change that the document keeps.
func oldestKept(document *catalog.Document) uint64 {
	if len(document.Changes) == 0 {
		return document.Revision + 1
	}
	return document.Changes[0].Revision
}
