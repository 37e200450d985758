// Package objectapi defines the client side of the platform's object API: versioned objects with conditional writes and
// watches.
package objectapi

// Kind names a class of objects, for example "lease".
type Kind string

// Kinds of objects that the system writes.
const (
	// KindConfig holds the configuration document that package distribution edits and follows.
	KindConfig    Kind = "config"
	KindLease     Kind = "lease"
	KindClaim     Kind = "claim"
	KindDeparture Kind = "departure"
	// KindDuty holds the state of the duties that must survive a change of the holder.
	KindDuty Kind = "duty"
	// KindInstance holds one object for each entry instance.
	KindInstance Kind = "instance"
	// KindQuarantine holds the keys of requests and prompt parts that crash endpoints.
	KindQuarantine Kind = "quarantine"
	// KindStreamOrigin holds the software versions that began streams, while several versions of a service can be taken up.
	KindStreamOrigin Kind = "stream-origin"
)

// Kinds of objects that others write.
const (
	// KindDeployment holds the operators' configuration of a platform.
	KindDeployment Kind = "deployment"
	// KindEndpoint holds one object for each endpoint, written by the endpoint.
	KindEndpoint Kind = "endpoint"
)

// Version orders the changes of the store within one Era. It increases with every change of any object.
type Version uint64

// Era numbers the histories of the store: it rises each time the store returns from an older copy, which takes back changes
// and gives their versions out again. 0 is unknown: the store names none, or there was no answer.
type Era uint64

// MaxEra is the highest era. The fencing tokens of package lease leave it 23 bits.
const MaxEra Era = 1<<23 - 1

// Object is one stored value.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// Value is opaque to the store and at most MaxValueBytes long.
	Value []byte `json:"value"`
}

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20
