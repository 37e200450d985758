package capacity

import "knapweedhoist/engine"

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of orders.
const (
	// OrderStart starts an instance of Offer for Service.
	OrderStart OrderKind = iota + 1
	// OrderDrain marks Instance as leaving, so that it gets no new work.
	OrderDrain
	// OrderStop stops Instance after it drained or reached DrainTimeout.
	OrderStop
	// OrderEngine sends the order Engine to the engine on Instance.
	OrderEngine
)

// String returns the name of the kind for logs and the timeline.
func (k OrderKind) String() string {
	switch k {
	case OrderStart:
		return "start"
	case OrderDrain:
		return "drain"
	case OrderStop:
		return "stop"
	case OrderEngine:
		return "engine"
	default:
		return "unknown"
	}
}

// Order is one order of a plan. Offer is set for OrderStart only, Instance for the other kinds, and Engine for
// OrderEngine only.
type Order struct {
	Kind OrderKind
	// Fence is the fencing token that Plan was called with.
	Fence   uint64
	Service string
	Offer   Offer
	// Instance is the ID of the instance.
	Instance string
	Engine   engine.Order
	// Reason is a short text for the timeline.
	Reason string
}
