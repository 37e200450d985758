package engine

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// Order instructs an engine to load a model or adapter, to change its role, or to drain.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing token of the lease under which the order is sent.
	Fence uint64 `json:"fence"`
	// Name and Version identify the model or adapter to load; Role is the role of OrderSetRole.
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}
