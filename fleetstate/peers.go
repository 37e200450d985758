package fleetstate

import (
	"cmp"
	"slices"
	"time"
)

// Peers returns the other instances that are listed or sent messages lately, sorted by name. If there are more than limit, it
// returns those of the own data centre, of these the limit that follow this one by name.
func (f *Fleet) Peers(now time.Time, limit int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := make(map[string]Peer)
	for _, listed := range f.listedIn(f.cfg.DataCentre) {
		near[listed.Name] = listed.Peer
	}
	for name, member := range f.members {
		if member.fresh(now) {
			near[name] = Peer{name, member.report.Address}
		}
	}
	all := make(map[string]Peer)
	for _, dataCentre := range f.otherCentres() {
		for _, listed := range f.listedIn(dataCentre) {
			all[listed.Name] = listed.Peer
		}
		if centre := f.centres[dataCentre]; centre != nil {
			for name, received := range centre.aggregators {
				if received.fresh(now) {
					all[name] = Peer{name, received.message.Address}
				}
			}
		}
	}
	for name, peer := range near {
		all[name] = peer
	}
	if len(all) > limit {
		all = near
	}
	peers := make([]Peer, 0, len(all))
	for _, peer := range all {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	if len(peers) <= limit {
		return peers
	}
	next, _ := slices.BinarySearchFunc(peers, f.cfg.Self.Instance, func(p Peer, name string) int { return cmp.Compare(p.Name, name) })
	return slices.Concat(peers[next:], peers[:next])[:limit]
}
