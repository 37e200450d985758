package handover

import "slices"

// Peer is a live entry instance that can take copies.
type Peer struct {
	// Incarnation identifies one start of the instance.
	Incarnation string
	Datacentre  string
	// Distance is 0 in the data centre of the leaving instance, and grows with the
	// one-way latency to the peer's data centre. Only the order of distances matters.
	Distance int
}

// nearestPeer returns the peer with the smallest distance that is neither self nor
// excluded, and false if there is none. Ties are broken by rendezvous hashing with
// self, so that the instances of a data centre that leave together do not all
// choose the same peer.
func nearestPeer(self string, peers []Peer, excluded map[string]bool) (Peer, bool) {
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
