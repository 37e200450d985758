package upstream

// maxIdleConns bounds the idle connections of one instance to one endpoint.
const maxIdleConns = 8

// idleFraction is the fraction of an endpoint's connection limit that all
// instances together may keep idle; the rest is for requests in progress.
const idleFraction = 0.5

// IdleLimit returns the number of idle connections to one endpoint that an
// instance may keep, from 1 to maxIdleConns. maxConns is the number of
// connections that the endpoint accepts from all instances together, 0 for no
// bound. instances is the number of instances.
func IdleLimit(maxConns, instances int) int {
	if maxConns <= 0 {
		return maxIdleConns
	}
	share := int(idleFraction * float64(maxConns) / float64(max(instances, 1)))
	return min(max(share, 1), maxIdleConns)
}
