package handover

import "slices"

// Peer is a live entry instance that can take copies.
type Peer struct {
	// Incarnation names the instance.
	Incarnation string
	Datacentre  string
	// Distance is the one-way latency class of its data centre, 0 for the own one.
	Distance int
}

// nearest returns the peer in the nearest data centre that is not excluded.
// Ties are decided by a rank that differs between the leaving instances, so
// that a whole data centre that leaves does not choose the same peer.
func nearest(self string, peers []Peer, excluded map[string]bool) (Peer, bool) {
	candidates := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.Incarnation == self || excluded[p.Incarnation]
	})
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return slices.MinFunc(candidates, func(a, b Peer) int {
		if a.Distance != b.Distance {
			return a.Distance - b.Distance
		}
		return compareRank(self, a.Incarnation, b.Incarnation)
	}), true
}
