package objectapi

import "time"

// Reply is the answer to a Request.
type Reply struct {
	// Object is the object read or written. With ErrConflict it is the current object, or the zero Object if none exists.
	Object Object
	// Objects is one page of OpList. Next is the value of Request.After for the next page, "" on the last page.
	Objects []Object
	Next    string
	// Events holds the changes that OpWatch returns, oldest first.
	Events []WatchEvent
	// Version is the version of the store at the time of the reply. The next watch starts from it.
	Version Version
	// Era is the era of the store that answered, also beside an error; 0 when it is unknown.
	Era Era
	// Age is the age of the copy that answered, 0 for the store itself.
	Age time.Duration
	// Waited is the minimum time for which the answer to a watch was held back: the whole Request.Wait when nothing
	// changed, else 0.
	Waited time.Duration
}

// Position returns the position of the store at the time of the reply.
func (r Reply) Position() Position { return Position{Era: r.Era, Version: r.Version} }

// WatchEvent is one change of an object.
type WatchEvent struct {
	Deleted bool   `json:"deleted,omitempty"`
	Object  Object `json:"object"`
}
