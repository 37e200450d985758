package distribution

import (
	"encoding/json"

	"knapweedhoist/catalog"
)

// Outcome is the kind of the result of an Edit.
type Outcome uint8

// Outcomes of an Edit.
const (
	// Accepted means that the change is stored as Revision.
	Accepted Outcome = iota + 1
	// Conflict means that the item changed, or may have changed, after the base revision. Nothing was stored.
	Conflict
	// Invalid means that the edit is not allowed; Err is the reason. Nothing was stored.
	Invalid
	// Unavailable means that the edit was not stored and will not be stored later.
	Unavailable
	// Unknown means that the change may have been stored. Submitting it again with the same operation id is safe: it is
	// stored at most once.
	Unknown
)

// Result is the result of an Edit. Each Edit has exactly one.
type Result struct {
	Ref     uint64
	Outcome Outcome
	// Revision is the revision of the change with Accepted, that of the stored document with Conflict, and else 0.
	Revision uint64
	// ConflictingChange is the change that the edit conflicts with; nil when the document no longer retains it.
	ConflictingChange *catalog.Change
	// CurrentItem is the stored item as JSON, set with Conflict; nil when the item does not exist.
	CurrentItem json.RawMessage
	// Err is set with Invalid, and with Unavailable and Unknown when the reason is known.
	Err error
}
