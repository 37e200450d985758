package catalog

import "errors"

// Errors of documents and changes.
var (
	// ErrInvalid is wrapped by every ValidationError, and by the errors of WithChange and CanonicalItem for an invalid kind
	// or item.
	ErrInvalid = errors.New("catalog: invalid document")
	// ErrTooLarge means that the encoded document exceeds MaxDocumentBytes.
	ErrTooLarge = errors.New("catalog: document too large")
	// ErrUnknownItem means that a change deletes an item that does not exist.
	ErrUnknownItem = errors.New("catalog: no such item")
	// ErrRevisionMismatch means that the revision of a change is not the revision of the document plus one.
	ErrRevisionMismatch = errors.New("catalog: change is not the next revision")
)
