package fleetstate

import (
	"sync"
	"time"

	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

// Fleet is one instance's view of the deployment, built from the messages that it receives.
type Fleet struct {
	cfg Config

	// mu guards the fields below.
	mu sync.Mutex
	// listed holds the instances that the store lists, by name, this one included if it is listed.
	listed map[string]Listing
	// ownState is the latest state of this instance; ownReports holds the last reportHistory reports that it sent.
	ownState   State
	ownReports []Report
	// members holds the other instances of the data centre that sent reports. membersUsed and membersStarted are the sums
	// of their counters.
	members                     map[string]*instanceState
	membersUsed, membersStarted Table
	// centres holds the other data centres that sent summaries. centresUsed and centresStarted are the sums of their
	// counters.
	centres                     map[string]*centreState
	centresUsed, centresStarted Table
	// digests holds the last digest of each aggregator that sent one. followedUsed and followedStarted are the counters of
	// all other instances according to them, and followedExcluded the slots without a recent digest.
	digests                       map[string]received[Digest]
	followedUsed, followedStarted Table
	followedExcluded              slotSet
	// seenUsed is the use of all other instances that Advance has returned.
	seenUsed Table
	// choice is the state of the choice of aggregators.
	choice aggregatorChoice
	// slot is the current slot of the last Advance.
	slot int64
	// digestSlice counts the digests, see Digest.Slice.
	digestSlice int
}

// NewFleet returns a Fleet that knows only this instance.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{
		cfg: cfg, listed: make(map[string]Listing), ownState: newState(),
		members: make(map[string]*instanceState), membersUsed: make(Table), membersStarted: make(Table),
		centres: make(map[string]*centreState), centresUsed: make(Table), centresStarted: make(Table),
		digests: make(map[string]received[Digest]), followedUsed: make(Table), followedStarted: make(Table),
		followedExcluded: make(slotSet), seenUsed: make(Table),
	}
}

// Others is the state of all other instances that this one is connected to.
type Others struct {
	// NewUse is the use of limits by team that became known since the last Advance.
	NewUse map[string]float64
	// Offered, Endpoints and Services are sums over the other instances.
	Offered   map[string]float64
	Endpoints map[uint32]EndpointLoad
	Services  map[string]ServiceLoad
	// Evidence holds what all instances, this one included, know of crashes and quarantines.
	Evidence quarantine.Evidence
	// Limits holds what all instances know of the rate limits of endpoints.
	Limits endpointlimit.Records
	// EndpointKnown reports whether Endpoints is complete for an endpoint. If not, the last known load still applies.
	EndpointKnown func(key uint32) bool
	// Levels holds the level of each team's bucket according to the newest message, nil without a recent one.
	Levels map[string]float64
	// Share is the part of all instances that this one is connected to, itself included.
	Share float64
	// Delay is the time that the use of another instance takes to arrive here at most, while no message is lost.
	Delay time.Duration
}

// SetOwn replaces the state of this instance.
func (f *Fleet) SetOwn(state State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownState = state
}

// Advance moves to the current slot and returns the state of the other instances. It is called several times per slot.
func (f *Fleet) Advance(now time.Time, slot int64) Others {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excludeDisconnected(now, slot)
	f.slot = slot
	f.forget(now)
	others := f.otherGauges(now)
	others.NewUse = f.newUse()
	others.Share = f.share(now)
	others.Levels = f.newestLevels(now)
	others.Delay = f.delay(now)
	known := f.knowledge(now)
	others.Evidence, others.Limits = known.evidence, known.mergedLimits()
	return others
}

// delay returns the sum of the intervals of the messages between another instance and this one.
func (f *Fleet) delay(now time.Time) time.Duration {
	var report, summary time.Duration
	for _, member := range f.members {
		if member.fresh(now) {
			report = max(report, member.report.Interval)
		}
	}
	for _, centre := range f.centres {
		if best, ok := centre.best(now); ok {
			summary = max(summary, best.Interval)
		}
	}
	if best, ok := f.bestDigest(now); ok && !f.direct(now) {
		return 3 * best.Interval // a report, a summary and the digest
	}
	return report + summary
}

// excludeDisconnected excludes the slots since the last Advance for all senders whose messages are not recent.
func (f *Fleet) excludeDisconnected(now time.Time, slot int64) {
	first := max(f.slot+1, slot-retainedSlots)
	if f.slot == 0 {
		first = slot
	}
	exclude := func(set slotSet) {
		for s := min(first, slot); s <= slot; s++ {
			set[s] = true
		}
	}
	for _, member := range f.members {
		if !member.fresh(now) {
			exclude(member.excluded)
		}
	}
	for _, centre := range f.centres {
		if _, ok := centre.best(now); !ok {
			exclude(centre.excluded)
		}
	}
	if _, ok := f.bestDigest(now); !ok {
		exclude(f.followedExcluded)
	}
}

// forget removes state that is too old to matter.
func (f *Fleet) forget(now time.Time) {
	first := f.slot - retainedSlots
	for name, member := range f.members {
		member.excluded.deleteBefore(first)
		_, isListed := f.listed[name]
		if !isListed && now.Sub(member.receivedAt) > unlistedRetention {
			delete(f.members, name)
		}
	}
	for _, centre := range f.centres {
		centre.excluded.deleteBefore(first)
		centre.forgetAggregators(now)
	}
	f.followedExcluded.deleteBefore(first)
}

// newUse returns the use of the other instances that became known since the last call.
func (f *Fleet) newUse() map[string]float64 {
	teams := make(map[string]bool)
	for _, table := range []Table{f.membersUsed, f.centresUsed, f.followedUsed} {
		for team := range table {
			teams[team] = true
		}
	}
	increases := make(map[string]float64)
	for team := range teams {
		if increase := f.raiseSeen(team); increase > 0 {
			increases[team] = increase
		}
	}
	return increases
}

// raiseSeen raises the seen use of a team to what the own sums or the digests contain and returns the increase.
func (f *Fleet) raiseSeen(team string) float64 {
	members, centres, followed := f.membersUsed.get(team), f.centresUsed.get(team), f.followedUsed.get(team)
	seen, increase := f.seenUsed.series(team), 0.0
	for slot := f.slot - retainedSlots; slot <= f.slot+maxSlotSkew; slot++ {
		if value := max(members.At(slot)+centres.At(slot), followed.At(slot)); value > 0 {
			increase += seen.Raise(slot, value)
		}
	}
	return increase
}

// direct reports whether this instance's own sums of members and data centres cover at least as many instances as the
// best digest, so that it uses the sums instead of the digest.
func (f *Fleet) direct(now time.Time) bool {
	digest, ok := f.bestDigest(now)
	return !ok || f.directLive(now) >= digest.Live
}

// otherGauges returns the demand and load of the other instances, from the own sums or the best digest.
func (f *Fleet) otherGauges(now time.Time) Others {
	if !f.direct(now) {
		return f.digestGauges(now)
	}
	sum := f.membersGauges(now)
	for _, centre := range f.centres {
		if summary, ok := centre.best(now); ok {
			sum.addGauges(summary.State)
		}
	}
	return Others{
		Offered: sum.Offered, Endpoints: sum.Endpoints, Services: sum.Services,
		EndpointKnown: func(uint32) bool { return true },
	}
}

// digestGauges returns the demand and load in the best digest without those of this instance.
func (f *Fleet) digestGauges(now time.Time) Others {
	digest, _ := f.bestDigest(now)
	state := digest.State
	if own, ok := f.includedReport(digest); ok {
		state.subtractGauges(own.State)
	}
	return Others{
		Offered: state.Offered, Endpoints: state.Endpoints, Services: state.Services,
		EndpointKnown: f.digestCovers(digest),
	}
}

// digestCovers returns whether a digest contains the load of an endpoint, if there is any.
func (f *Fleet) digestCovers(digest Digest) func(uint32) bool {
	return func(key uint32) bool {
		return digest.Slices <= 1 || int(key)%digest.Slices == digest.Slice || f.cfg.IsLocal(key)
	}
}

// membersGauges returns the sum of the demand and load of the connected members.
func (f *Fleet) membersGauges(now time.Time) State {
	sum := newState()
	for _, member := range f.members {
		if member.fresh(now) {
			sum.addGauges(member.report.State)
		}
	}
	return sum
}

// newestLevels returns the levels of the newest recent message that has any.
func (f *Fleet) newestLevels(now time.Time) map[string]float64 {
	var levels map[string]float64
	var newestAt time.Time
	var newestFrom string
	offer := func(sender Sender, candidate map[string]float64, at time.Time, fresh bool) {
		from := sender.Source.Instance
		if fresh && len(candidate) > 0 && (at.After(newestAt) || at.Equal(newestAt) && from < newestFrom) {
			levels, newestAt, newestFrom = candidate, at, from
		}
	}
	for _, received := range f.digests {
		offer(received.message.Sender, received.message.State.Levels, received.receivedAt, received.fresh(now))
	}
	for _, member := range f.members {
		offer(member.report.Sender, member.report.State.Levels, member.receivedAt, member.fresh(now))
	}
	for _, centre := range f.centres {
		for _, received := range centre.aggregators {
			offer(received.message.Sender, received.message.State.Levels, received.receivedAt, received.fresh(now))
		}
	}
	return levels
}

// bestDigest returns the recent digest that covers the most instances, the newest one of several, or false if none is
// recent.
func (f *Fleet) bestDigest(now time.Time) (Digest, bool) {
	return bestOf(f.digests, now)
}

// includedReport returns the own report that a digest includes. It returns false if the digest includes none of this
// process start or one that is no longer kept.
func (f *Fleet) includedReport(digest Digest) (Report, bool) {
	if digest.IncludedBoot != f.cfg.Self.Boot {
		return Report{}, false
	}
	for _, report := range f.ownReports {
		if report.Sequence == digest.IncludedSequence {
			return report, true
		}
	}
	return Report{}, false
}
