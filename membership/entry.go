package membership

// Kind tells what an Entry of the list is.
type Kind string

// Kinds of entries.
const (
	KindEntry    Kind = "entry"
	KindEndpoint Kind = "endpoint"
)

// Entry is one instance in the lagging list.
type Entry struct {
	ID          string
	Incarnation string
	Kind        Kind
	Service     string
	Datacentre  string
	Zone        string
	Class       string
	// Address is the datagram address of an entry instance, the service address of an endpoint.
	Address     string
	Reclaimable bool
	Leaving     bool
}

// incarnation returns the entry's incarnation. Plain services may have none;
// an id with an address then stands for it.
func (e Entry) incarnation() string {
	if e.Incarnation != "" {
		return e.Incarnation
	}
	return e.ID + "@" + e.Address
}
