package roster

// Kind is the kind of an entry.
type Kind string

// Kinds of entries.
const (
	// KindEntry is an entry instance.
	KindEntry Kind = "entry"
	// KindEndpoint is an endpoint of a model engine or a plain service.
	KindEndpoint Kind = "endpoint"
)

// State is the lifecycle state of an entry.
type State string

// States of an entry. An entry that has ended is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Entry is an entry instance or endpoint in the list.
type Entry struct {
	ID string `json:"id"`
	// Incarnation changes at each start.
	Incarnation string `json:"incarnation"`
	Kind        Kind   `json:"kind"`
	// Service is the service of an endpoint, "" for an entry instance.
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
