package fleetstate

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// aggregatorCount is the number of aggregators in each data centre. Each gets the reports of all members, so that one
// alone suffices.
const aggregatorCount = 2

// aggregatorChoice is the state of a member's choice of the aggregators that it reports to.
type aggregatorChoice struct {
	// peers are the aggregators that the best digest listed, preferred the one among them that sends digests. It must
	// answer until answerDue.
	peers     []Peer
	preferred string
	answerDue time.Time
	// tried is the number of changes of the preferred aggregator since the last digest.
	tried int
}

// observeDigest records an answer of the preferred aggregator.
func (c *aggregatorChoice) observeDigest(now time.Time, digest Digest) {
	if digest.Source.Instance == c.preferred {
		c.answerDue, c.tried = now.Add(timeout(digest.Interval)), 0
	}
}

// ReportTarget is an instance that gets this one's reports.
type ReportTarget struct {
	Peer
	// WantsDigest is set if the instance is asked for digests.
	WantsDigest bool
}

// ReportTargets returns the instances of the data centre to send a report to. These are the aggregators of the newest
// digest. While the preferred one does not answer, the others are asked in turn, then the listed instances by rank.
func (f *Fleet) ReportTargets(now time.Time) []ReportTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := f.aggregatorPeers(now)
	if len(peers) == 0 {
		return nil
	}
	f.choosePreferred(now, peers)
	targets := make([]ReportTarget, 0, len(peers))
	for _, peer := range peers {
		targets = append(targets, ReportTarget{peer, peer.Name == f.choice.preferred})
	}
	return targets
}

// aggregatorPeers returns the aggregators to report to, without this instance.
func (f *Fleet) aggregatorPeers(now time.Time) []Peer {
	var peers []Peer
	if f.direct(now) && f.hasLiveMembers(now) {
		for _, c := range f.liveCandidates(now, false) {
			peers = append(peers, c.Peer)
		}
		peers = peers[:min(aggregatorCount, len(peers))]
	} else {
		peers = slices.Clone(f.choice.peers)
	}
	peers = slices.DeleteFunc(peers, func(p Peer) bool { return p.Name == f.cfg.Self.Instance })
	silent := len(peers) == 0 || f.choice.tried >= len(peers)
	if !silent {
		return peers
	}
	return append(peers, f.probes(peers)...)
}

func (f *Fleet) hasLiveMembers(now time.Time) bool { return f.liveMembers(now) > 1 }

// probes returns listed instances to try while no known aggregator answers: the first ones by rank, then others in turn.
func (f *Fleet) probes(known []Peer) []Peer {
	listed := f.listedIn(f.cfg.DataCentre)
	var probes []Peer
	for i := range min(aggregatorCount, len(listed)) {
		next := listed[(f.choice.tried*aggregatorCount+i)%len(listed)].Peer
		if !slices.Contains(known, next) {
			probes = append(probes, next)
		}
	}
	return probes
}

// choosePreferred keeps the preferred aggregator while it answers, and else changes to the next one. The first choice
// depends on the name of this instance, which spreads the members over the aggregators.
func (f *Fleet) choosePreferred(now time.Time, peers []Peer) {
	index := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == f.choice.preferred })
	if index >= 0 && now.Before(f.choice.answerDue) {
		return
	}
	if index < 0 && f.choice.tried == 0 {
		index = int(xxh3.HashString(f.cfg.Self.Instance) % uint64(len(peers)))
	} else {
		index = (index + 1) % len(peers)
		f.choice.tried++
	}
	f.choice.preferred, f.choice.answerDue = peers[index].Name, now.Add(minTimeout)
}

// DigestTarget is a member that gets digests.
type DigestTarget struct {
	Peer
	// Boot and Sequence identify the member's latest report.
	Boot, Sequence uint64
	// Unlisted is set when the store has no object for the member.
	Unlisted bool
}

// DigestTargets returns the members that asked for digests, sorted by name.
func (f *Fleet) DigestTargets(now time.Time) []DigestTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []DigestTarget
	for name, member := range f.members {
		if !member.fresh(now) || !member.report.WantsDigest {
			continue
		}
		_, listed := f.listed[name]
		targets = append(targets, DigestTarget{
			Peer: Peer{name, member.report.Address}, Boot: member.report.Source.Boot,
			Sequence: member.report.Sequence, Unlisted: !listed && len(f.listed) > 0,
		})
	}
	slices.SortFunc(targets, func(a, b DigestTarget) int { return candidate{Peer: a.Peer}.ranksAbove(candidate{Peer: b.Peer}) })
	return targets
}

// SummaryTargets returns the instances of other data centres to send a summary to, none if this instance does not act as
// aggregator. These are the aggregators that sent summaries lately, or listed instances by rank where none did. tick
// counts the calls; the listed instances take turns by it.
func (f *Fleet) SummaryTargets(now time.Time, tick int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isAggregator(now) {
		return nil
	}
	var targets []Peer
	for _, dataCentre := range f.otherCentres() {
		targets = append(targets, f.centreTargets(now, dataCentre, tick)...)
	}
	return targets
}

// IsAggregator reports whether this instance acts as aggregator of its data centre.
func (f *Fleet) IsAggregator(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isAggregator(now)
}

// isAggregator reports whether this instance sends summaries: other members ask it for digests, or it is one of the
// aggregators of its data centre.
func (f *Fleet) isAggregator(now time.Time) bool {
	for _, member := range f.members {
		if member.fresh(now) && member.report.WantsDigest {
			return true
		}
	}
	return f.aggregatorIndex(now, false) >= 0
}

// aggregatorIndex returns the position of this instance among the aggregators of its data centre, -1 if it is none.
func (f *Fleet) aggregatorIndex(now time.Time, leaving bool) int {
	return slices.IndexFunc(f.knownAggregators(now, leaving), func(p Peer) bool { return p.Name == f.cfg.Self.Instance })
}

// knownAggregators returns the aggregators of the data centre: those that the best digest lists if it covers more
// instances than the own sums, and otherwise the first by rank of the live members, or of the listed ones while no member
// has reported.
func (f *Fleet) knownAggregators(now time.Time, leaving bool) []Peer {
	if digest, ok := f.bestDigest(now); ok && !f.direct(now) {
		return digest.Aggregators
	}
	candidates := f.liveCandidates(now, leaving)
	if !f.hasLiveMembers(now) {
		candidates = append(candidates, f.listedIn(f.cfg.DataCentre)...)
		slices.SortFunc(candidates, candidate.ranksAbove)
	}
	peers := make([]Peer, 0, aggregatorCount)
	for _, c := range candidates[:min(aggregatorCount, len(candidates))] {
		peers = append(peers, c.Peer)
	}
	return peers
}

// otherCentres returns the names of the other data centres, sorted.
func (f *Fleet) otherCentres() []string {
	names := make(map[string]bool)
	for _, listing := range f.listed {
		names[listing.DataCentre] = true
	}
	for name := range f.centres {
		names[name] = true
	}
	delete(names, f.cfg.DataCentre)
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// centreTargets returns the targets in another data centre.
func (f *Fleet) centreTargets(now time.Time, dataCentre string, tick int) []Peer {
	var targets []Peer
	if centre := f.centres[dataCentre]; centre != nil {
		for name, received := range centre.aggregators {
			if received.fresh(now) {
				targets = append(targets, Peer{name, received.message.Address})
			}
		}
	}
	if len(targets) > 0 {
		slices.SortFunc(targets, func(a, b Peer) int { return candidate{Peer: a}.ranksAbove(candidate{Peer: b}) })
		return targets[:min(2*aggregatorCount, len(targets))]
	}
	listed := f.listedIn(dataCentre)
	for i := range min(aggregatorCount, len(listed)) {
		targets = append(targets, listed[i].Peer)
	}
	if rest := len(listed) - len(targets); rest > 0 {
		targets = append(targets, listed[len(targets)+tick%rest].Peer)
	}
	return targets
}

// Relays returns the addresses of the instances that read the store for this one, the preferred one first, or none when
// this instance reads the store itself. isRelay is set when others read the store through this instance.
func (f *Fleet) Relays(now time.Time) (addresses []string, isRelay bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index := f.aggregatorIndex(now, false); index >= 0 {
		return f.aggregatorRelays(now, index)
	}
	for _, peer := range f.knownAggregators(now, false) {
		if peer.Name == f.choice.preferred {
			addresses = append([]string{peer.Address}, addresses...)
			continue
		}
		addresses = append(addresses, peer.Address)
	}
	return addresses, false
}

// aggregatorRelays returns the relays of the aggregator at an index: the first one reads the store for the others as well.
// In a data centre without other members each aggregator reads the store itself.
func (f *Fleet) aggregatorRelays(now time.Time, index int) (addresses []string, isRelay bool) {
	if max(f.liveMembers(now), len(f.listedIn(f.cfg.DataCentre))+1) <= aggregatorCount {
		return nil, false
	}
	if index > 0 {
		return []string{f.knownAggregators(now, false)[0].Address}, true
	}
	return nil, true
}

// candidateCentres is the number of data centres whose first instance contends for the duties.
const candidateCentres = 2

// IsCandidate reports whether this instance contends for the duties: it is the first by rank of its data centre, which is
// one of the first data centres by name that it is connected to.
func (f *Fleet) IsCandidate(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.aggregatorIndex(now, false) != 0 {
		return false
	}
	rank := 0
	for name, centre := range f.centres {
		if _, ok := centre.best(now); ok && name < f.cfg.DataCentre {
			rank++
		}
	}
	return rank < candidateCentres
}
