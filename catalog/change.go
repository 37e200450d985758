package catalog

import "encoding/json"

// ItemKind classifies what a change touches.
type ItemKind string

// Kinds of items.
const (
	ItemService ItemKind = "service"
	ItemTeam    ItemKind = "team"
	ItemPreset  ItemKind = "preset"
	ItemInForce ItemKind = "in_force"
)

// Change is one accepted change of the document.
type Change struct {
	Revision uint64 `json:"revision"`
	// OperationID is chosen by the operator's client and recognises the change after a lost reply.
	OperationID string   `json:"operation_id"`
	Operator    string   `json:"operator"`
	AtMs        int64    `json:"at_ms"`
	Kind        ItemKind `json:"kind"`
	Name        string   `json:"name"`
	// Before and After are the item as JSON; null when it did not exist or was deleted.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}
