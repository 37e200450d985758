package operator

import (
	"encoding/json"

	"knapweedhoist/catalog"
)

// Change is an operator's request to change one item of the shared configuration.
type Change struct {
	Kind catalog.ItemKind
	// Name is the name of the item; for catalog.ItemInForce, of the preset to put in force.
	Name string
	// Item is the new item as JSON; nil deletes the item.
	Item json.RawMessage
	// BaseRevision is the configuration revision that the change is based on.
	BaseRevision uint64
	// OperationID identifies the change, so that a repeated request is applied at most once.
	OperationID string
	// Operator is the name of the authenticated operator.
	Operator string
}

// ChangeResult is the response to an accepted change.
type ChangeResult struct {
	// Revision is the configuration revision that contains the change.
	Revision uint64 `json:"revision"`
}

// ChangeBody is the JSON body of PUT and DELETE requests; its fields are described at Change.
type ChangeBody struct {
	BaseRevision uint64          `json:"base_revision"`
	OperationID  string          `json:"operation_id"`
	Item         json.RawMessage `json:"item,omitempty"`
	// Preset is the preset to put in force; only for /operator/v1/in-force.
	Preset string `json:"preset,omitempty"`
}
