package distribution

import "knapweedhoist/rendezvous"

// WatchersPerDatacentre is the number of instances of a data centre that watch the document.
const WatchersPerDatacentre = 2

// Watchers chooses the watchers of a data centre among its live members.
func Watchers(datacentre string, members []string) []string {
	return rendezvous.Top("config-watch/"+datacentre, members, WatchersPerDatacentre)
}
