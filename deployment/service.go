package deployment

import "time"

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name string
	// MaxConnections is what one endpoint accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil where the number of endpoints is not for the system to choose.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the room for running requests and cached prefixes.
	MemoryTokens int
}

// Scaling bounds the orders for endpoints of a service.
type Scaling struct {
	// Min and Max bound the endpoints in each data centre, reclaimable and on-demand together.
	Min, Max int
	// BootTime is the time from an order to a ready endpoint.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of an on-demand one; 0 where there are none.
	ReclaimablePrice float64
	// Prices has the price of an on-demand endpoint by data centre.
	Prices map[string]float64
}
