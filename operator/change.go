package operator

import (
	"encoding/json"

	"knapweedhoist/catalog"
)

// Change is one change that an operator asks for.
type Change struct {
	Kind catalog.ItemKind
	// Name of the item; for catalog.ItemInForce the preset to put in force.
	Name string
	// Item as JSON; nil deletes it.
	Item json.RawMessage
	// BaseRevision is the revision that the operator has seen.
	BaseRevision uint64
	// OperationID recognises the change when it is sent again.
	OperationID string
	Operator    string
}

// ChangeResult is an accepted change.
type ChangeResult struct {
	Revision uint64 `json:"revision"`
}

// ChangeBody is the body of PUT and DELETE requests.
type ChangeBody struct {
	BaseRevision uint64          `json:"base_revision"`
	OperationID  string          `json:"operation_id"`
	Item         json.RawMessage `json:"item,omitempty"`
	// Preset applies to /operator/v1/in-force.
	Preset string `json:"preset,omitempty"`
}
