package membership

// Kind says whether an Entry is an entry instance or an endpoint.
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

// incarnation returns the entry's incarnation, or id@address when it has none, which
// can be so for endpoints of plain services.
func (e Entry) incarnation() string {
	if e.Incarnation != "" {
		return e.Incarnation
	}
	return e.ID + "@" + e.Address
}
