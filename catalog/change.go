package catalog

import "encoding/json"

// ItemKind is the kind of item that a change replaces or deletes.
type ItemKind string

// Kinds of items.
const (
	ItemService ItemKind = "service"
	ItemTeam    ItemKind = "team"
	ItemPreset  ItemKind = "preset"
	// ItemInForce is the choice of the preset in force. Its value is the preset's name as a JSON string; it cannot be
	// deleted.
	ItemInForce ItemKind = "in_force"
)

// Change is an accepted change of one item of the document.
type Change struct {
	Revision uint64 `json:"revision"`
	// OperationID is chosen by the operator's client. It identifies the change when it is sent again after a lost reply.
	OperationID string `json:"operation_id"`
	Operator    string `json:"operator"`
	// AtMs is the time of the change in milliseconds since the Unix epoch.
	AtMs int64    `json:"at_ms"`
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
	// Before and After are the item as JSON. Before is nil when the item did not exist, After when it was deleted.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}
