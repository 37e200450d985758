package roster

// Kind tells what an entry of the list is.
type Kind string

// Kinds of entries.
const (
	// KindEntry is an entry instance.
	KindEntry Kind = "entry"
	// KindEndpoint is a model engine or a plain service.
	KindEndpoint Kind = "endpoint"
)

// State is the state of an entry.
type State string

// States of an entry. One that has ended is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Entry is one entry instance or endpoint.
type Entry struct {
	ID string `json:"id"`
	// Incarnation is new at each start.
	Incarnation string `json:"incarnation"`
	Kind        Kind   `json:"kind"`
	// Service is the service of an endpoint.
	Service    string `json:"service,omitempty"`
	Datacentre string `json:"datacentre"`
	Zone       string `json:"zone"`
	// Class is the machine class.
	Class string `json:"class"`
	// Address is the IP address and port.
	Address     string `json:"address"`
	Reclaimable bool   `json:"reclaimable"`
	State       State  `json:"state"`
}
