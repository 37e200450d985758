package distribution

import (
	"encoding/json"
	"time"

	"knapweedhoist/catalog"
)

// Edit is an operator's request to create, replace or delete one item of the document.
type Edit struct {
	// Ref is chosen by the caller and copied to the Result.
	Ref uint64
	// OperationID identifies the change, so that an edit that is sent again after a lost reply is stored only once.
	OperationID string
	Operator    string
	Kind        catalog.ItemKind
	// Name is the name of the item; it is empty for the preset in force.
	Name string
	// BaseRevision is the document revision on which the operator based the edit.
	BaseRevision uint64
	// Item is the new item as JSON; nil deletes the item.
	Item json.RawMessage
	// Deadline is when the Editor stops its attempts to store the edit.
	Deadline time.Time
}
