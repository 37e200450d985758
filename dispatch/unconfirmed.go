package dispatch

// confirmedOnly reports whether endpoints that are Unconfirmed are left out. It looks for others only once such an endpoint is met.
func (c *choice) confirmedOnly() bool {
	if !c.confirmed.known {
		c.confirmed.known, c.confirmed.canServe = true, c.confirmedCanServe()
	}
	return c.confirmed.canServe
}

// confirmedCanServe reports whether an eligible endpoint that is not Unconfirmed has a free slot.
//
// Load pattern: when most entries of a service expire in an outage of the store, the few others would get the whole load.
func (c *choice) confirmedCanServe() bool {
	for _, endpoint := range c.query.Endpoints {
		if endpoint.Unconfirmed || !c.eligible(endpoint) {
			continue
		}
		if state := c.balancer.current(endpoint); state == nil || endpoint.Slots == 0 || state.total() < endpoint.Slots {
			return true
		}
	}
	return false
}
