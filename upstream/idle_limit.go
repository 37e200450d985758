package upstream

// maxIdle bounds the idle connections of one instance to one endpoint.
const maxIdle = 8

// idleShare is the part of an endpoint's connections that all instances
// together may keep idle; the rest is for requests in progress.
const idleShare = 0.5

// IdleLimit returns how many idle connections to one endpoint an instance keeps
// where the endpoint accepts accepted connections from all instances together;
// 0 means no bound.
func IdleLimit(accepted, instances int) int {
	if accepted <= 0 {
		return maxIdle
	}
	share := int(idleShare * float64(accepted) / float64(max(instances, 1)))
	return min(max(share, 1), maxIdle)
}
