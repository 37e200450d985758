package distribution

import (
	"encoding/json"
	"time"

	"knapweedhoist/catalog"
)

// Edit is one operator's change of one item.
type Edit struct {
	// Ref returns in the Result; the caller chooses it.
	Ref uint64
	// OperationID recognises the change when it is sent again after a lost reply.
	OperationID string
	Operator    string
	Kind        catalog.ItemKind
	// Name is the item's name; empty for the preset in force.
	Name string
	// BaseRevision is the revision in which the operator saw the item.
	BaseRevision uint64
	// Item is the new item as JSON; nil deletes it.
	Item json.RawMessage
	// Deadline ends the attempts.
	Deadline time.Time
}
