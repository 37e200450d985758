package distribution

import (
	"encoding/json"

	"knapweedhoist/catalog"
)

// Outcome is how an Edit ended.
type Outcome uint8

// Outcomes of an Edit.
const (
	// Accepted: the platform has stored the change as Revision.
	Accepted Outcome = iota + 1
	// Conflict: the item changed after the base revision. Nothing was stored.
	Conflict
	// Invalid: Err tells what is wrong. Nothing was stored.
	Invalid
	// Unavailable: nothing was stored, and nothing will be.
	Unavailable
	// Unknown: the change may be stored. The same operation id asks again without a risk of a second change.
	Unknown
)

// Result is the one result of an Edit.
type Result struct {
	Ref      uint64
	Outcome  Outcome
	Revision uint64
	// Other is the change that the edit conflicts with; nil when it is older than the kept changes.
	Other *catalog.Change
	// Current is the item as stored, with a Conflict; nil when it does not exist.
	Current json.RawMessage
	// Err is set with Invalid, and with Unavailable when the reason is known.
	Err error
}
