package deployment

import "time"

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from all instances together.
	MaxConnections int
	// Engine is nil for plain services, which run no model.
	Engine *Engine
	// Scaling is nil if the system does not order endpoints for the service.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVCacheTokens is the size of the KV cache, in tokens, that running requests and cached prefixes share.
	KVCacheTokens int
}

// Scaling bounds the orders for endpoints of a service.
type Scaling struct {
	// Min and Max bound the endpoints in each data centre, reclaimable and on-demand together.
	Min, Max int
	// BootTime is the time from an order to a ready endpoint.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of the on-demand price; 0 if the service has
	// none.
	ReclaimablePrice float64
	// Prices is the price of an on-demand endpoint by data centre.
	Prices map[string]float64
}
