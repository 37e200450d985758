package engine

// OrderKind is what an order asks an engine to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// Order tells an engine to change what it serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Name and Version name a model or adapter; Role applies to OrderSetRole.
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}
