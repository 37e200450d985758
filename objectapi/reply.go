package objectapi

import "time"

// Reply is the answer to a Request.
type Reply struct {
	// Object is the object read or written. With ErrConflict it is the current
	// object, or the zero Object when none exists.
	Object Object
	// Objects is a page of OpList; Next is the After of the next page, "" at the end.
	Objects []Object
	Next    string
	// Events are the changes that OpWatch saw, oldest first.
	Events []WatchEvent
	// Version is the store's version at the time of the reply; a watch continues from it.
	Version Version
	// Age is how old the copy was that answered; 0 for the store itself.
	Age time.Duration
	// Waited is how long the answer to a watch was held back at least: the whole wait when nothing changed.
	Waited time.Duration
}

// WatchEvent is one change of an object.
type WatchEvent struct {
	Deleted bool   `json:"deleted,omitempty"`
	Object  Object `json:"object"`
}
