package capacity

import "knapweedhoist/engine"

// OrderKind is what an order asks for.
type OrderKind uint8

// Kinds of orders.
const (
	// OrderStart asks the cloud for an instance of Offer for Service.
	OrderStart OrderKind = iota + 1
	// OrderDrain asks the fleet to send no new work to Instance.
	OrderDrain
	// OrderStop asks the cloud to stop Instance, which has drained.
	OrderStop
	// OrderEngine gives Engine to the engine on Instance.
	OrderEngine
)

// String returns the kind's name for logs and the timeline.
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

// Order is one typed order of a plan. Each carries the fence of the lease "capacity".
type Order struct {
	Kind     OrderKind
	Fence    uint64
	Service  string
	Offer    Offer
	Instance string
	Engine   engine.Order
	// Reason is a short text for the timeline.
	Reason string
}
