package fleetstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Listing is what the store holds about an instance.
type Listing struct {
	Address    string
	DataCentre string
	// Weight ranks the instance among the candidates for an aggregator; a higher one goes first.
	Weight int
}

// SetListed replaces the listed instances, by name.
func (f *Fleet) SetListed(listed map[string]Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = listed
}

// Unlist removes an instance from the listed ones.
func (f *Fleet) Unlist(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.listed, name)
}

// KnowsOthers reports whether any other instance is listed or has sent a message.
func (f *Fleet) KnowsOthers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.listed) > 0 || len(f.members) > 0 || len(f.digests) > 0
}

// IsSmallCentre reports whether no more instances of the data centre than aggregators are listed. Each of them reads the
// store itself.
func (f *Fleet) IsSmallCentre() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.listedIn(f.cfg.DataCentre))+1 <= aggregatorCount
}

// Followed reports whether this instance receives digests.
func (f *Fleet) Followed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.bestDigest(now)
	return ok
}

// candidate is an instance that can act as aggregator.
type candidate struct {
	Peer
	weight int
}

// ranksAbove orders candidates by weight, then by name.
func (c candidate) ranksAbove(other candidate) int {
	if c.weight != other.weight {
		return cmp.Compare(other.weight, c.weight)
	}
	return cmp.Compare(c.Name, other.Name)
}

// listedIn returns the listed instances of a data centre other than this one, by rank.
func (f *Fleet) listedIn(dataCentre string) []candidate {
	var candidates []candidate
	for name, listing := range f.listed {
		if listing.DataCentre == dataCentre && name != f.cfg.Self.Instance {
			candidates = append(candidates, candidate{Peer{name, listing.Address}, listing.Weight})
		}
	}
	slices.SortFunc(candidates, candidate.ranksAbove)
	return candidates
}

// liveCandidates returns this instance and the members whose reports are recent, by rank, without those that are
// leaving.
func (f *Fleet) liveCandidates(now time.Time, selfLeaving bool) []candidate {
	var candidates []candidate
	if !selfLeaving {
		candidates = append(candidates, candidate{Peer{f.cfg.Self.Instance, f.cfg.Address}, f.cfg.Weight})
	}
	for name, member := range f.members {
		if member.fresh(now) && !member.report.Leaving {
			candidates = append(candidates, candidate{Peer{name, member.report.Address}, member.report.Weight})
		}
	}
	slices.SortFunc(candidates, candidate.ranksAbove)
	return candidates
}

// Total returns the number of instances in the deployment, connected or not.
func (f *Fleet) Total(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total(now)
}

// Rank returns the number of instances whose names come before that of this one, among those that are listed or members of
// its data centre. Before the first list it is a hash of the name, so that instances that start together differ.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.listed) == 0 {
		return int(xxh3.HashString(f.cfg.Self.Instance) >> 1)
	}
	rank := 0
	for name := range f.listed {
		if name < f.cfg.Self.Instance {
			rank++
		}
	}
	for name := range f.members {
		if _, listed := f.listed[name]; !listed && name < f.cfg.Self.Instance {
			rank++
		}
	}
	return rank
}

// ListOutdated reports whether the number of instances that Rank counts among differs from Total. Two instances can then have
// the same rank.
func (f *Fleet) ListOutdated(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := len(f.listed)
	if _, listed := f.listed[f.cfg.Self.Instance]; !listed {
		known++
	}
	for name := range f.members {
		if _, listed := f.listed[name]; !listed {
			known++
		}
	}
	return known != f.total(now)
}

// total counts, for each data centre, the listed instances or the live ones, whichever are more: a new instance reports
// before the list contains it.
func (f *Fleet) total(now time.Time) int {
	if !f.direct(now) {
		digest, _ := f.bestDigest(now)
		return digest.Total
	}
	listed := map[string]int{}
	for name, listing := range f.listed {
		if name != f.cfg.Self.Instance {
			listed[listing.DataCentre]++
		}
	}
	unlisted := 0
	for name := range f.members {
		if _, ok := f.listed[name]; !ok {
			unlisted++
		}
	}
	total := 1 + listed[f.cfg.DataCentre] + unlisted
	for name, centre := range f.centres {
		total += max(centre.live(now), listed[name])
		delete(listed, name)
	}
	for name, n := range listed {
		if name != f.cfg.DataCentre {
			total += n
		}
	}
	return total
}

// live returns the number of instances that this one is connected to, itself included.
func (f *Fleet) live(now time.Time) int {
	digest, _ := f.bestDigest(now)
	return max(f.directLive(now), digest.Live)
}

// directLive returns the number of instances that the own sums cover, this one included.
func (f *Fleet) directLive(now time.Time) int {
	live := f.liveMembers(now)
	for _, centre := range f.centres {
		live += centre.live(now)
	}
	return live
}

// liveMembers returns the number of live instances in the data centre, this one included.
func (f *Fleet) liveMembers(now time.Time) int {
	live := 1
	for _, member := range f.members {
		if member.fresh(now) {
			live++
		}
	}
	return live
}

// share returns the part of all instances that this one is connected to, itself included.
func (f *Fleet) share(now time.Time) float64 {
	return min(float64(f.live(now))/float64(max(f.total(now), 1)), 1)
}

// deadAfter is how long a listed instance must send no report before it counts as dead. It is longer than network
// partitions and restarts last.
const deadAfter = 20 * time.Second

// Dead returns the names of the listed instances of the data centre that are dead, sorted. It returns none unless this
// instance is the first by rank of its data centre and connected to more than half of the deployment, since it may be cut
// off itself. listedSince returns the time since which an instance has been listed.
func (f *Fleet) Dead(now time.Time, listedSince func(name string) time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.liveCandidates(now, false)[0].Name != f.cfg.Self.Instance || 2*f.directLive(now) <= f.total(now) {
		return nil
	}
	var dead []string
	for _, listed := range f.listedIn(f.cfg.DataCentre) {
		since := listedSince(listed.Name)
		if member := f.members[listed.Name]; member != nil && member.receivedAt.After(since) {
			since = member.receivedAt
		}
		if now.Sub(since) >= deadAfter {
			dead = append(dead, listed.Name)
		}
	}
	slices.Sort(dead)
	return dead
}
