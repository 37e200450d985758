package catalog

import "errors"

// Sentinel errors of documents.
var (
	// ErrInvalid is wrapped by every ValidationError.
	ErrInvalid = errors.New("catalog: invalid document")
	// ErrTooLarge means that the encoded document is over MaxDocumentBytes.
	ErrTooLarge = errors.New("catalog: document too large")
	// ErrUnknownItem means that a change deletes an item that does not exist.
	ErrUnknownItem = errors.New("catalog: no such item")
	// ErrRevision means that a change is not the next one of the document.
	ErrRevision = errors.New("catalog: change is not the next revision")
)
