package fleetstate

import (
	"time"
)

// OwnReport returns the report of this instance and keeps it, to subtract it from the digests that include it. sender has
// the fields of the message that the Fleet does not know.
func (f *Fleet) OwnReport(sender Sender, leaving bool) Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := Report{Sender: f.completeSender(sender), Weight: f.cfg.Weight, Leaving: leaving, State: f.ownState}
	report.State.Used = f.ownState.Used.From(f.slot - reportedSlots)
	f.ownReports = append(f.ownReports, report)
	if len(f.ownReports) > reportHistory {
		f.ownReports = f.ownReports[1:]
	}
	return report
}

func (f *Fleet) completeSender(sender Sender) Sender {
	sender.Source, sender.Address, sender.DataCentre = f.cfg.Self, f.cfg.Address, f.cfg.DataCentre
	return sender
}

// OwnSummary returns the summary of the data centre. wall is the estimated time of day.
func (f *Fleet) OwnSummary(now time.Time, sender Sender) Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	summary := Summary{Sender: f.completeSender(sender), Live: f.liveMembers(now), CompleteUntil: sender.Wall}
	summary.State = f.membersGauges(now)
	summary.State.addGauges(f.ownState)
	summary.State.Levels = f.ownState.Levels
	known := f.membersKnowledge(now)
	summary.State.Evidence, summary.State.Limits = known.evidence, known.mergedLimits()
	summary.State.Used = f.ownState.Used.From(f.slot - reportedSlots)
	summary.State.Used.Sum(f.membersUsed.From(f.slot - reportedSlots))
	summary.State.Started = f.startedIn(f.membersStarted)
	for _, member := range f.members {
		if !member.fresh(now) {
			continue
		}
		receivedAt := sender.Wall.Add(member.receivedAt.Sub(now))
		summary.CompleteUntil = earlier(summary.CompleteUntil, receivedAt)
		summary.ClockOffsets = append(summary.ClockOffsets, member.report.Wall.Sub(receivedAt))
	}
	return summary
}

// startedIn returns the started requests of this instance and those of a sum.
func (f *Fleet) startedIn(sum Table) Table {
	started := f.ownState.Started.From(0)
	newest := int64(0)
	for _, series := range started {
		newest = max(newest, series.First+int64(len(series.Counts))-1)
	}
	for _, series := range sum {
		newest = max(newest, series.First+int64(len(series.Counts))-1)
	}
	started = started.From(newest - ReportedWindows + 1)
	started.Sum(sum.From(newest - ReportedWindows + 1))
	return started
}

// OwnDigest returns the digest for the members of the data centre, without the fields that depend on the receiver. Each
// call includes the next of slices parts of the endpoints of other data centres. Live counts only the instances that the
// own sums cover: aggregators send each other digests, and would keep a lost data centre alive between them.
func (f *Fleet) OwnDigest(now time.Time, sender Sender, leaving bool, slices int) Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digestSlice++
	digest := Digest{
		Sender: f.completeSender(sender), Live: f.directLive(now), Total: f.total(now), CompleteUntil: f.completeUntil(now, sender.Wall),
		Slices: max(slices, 1), Slice: f.digestSlice % max(slices, 1),
	}
	digest.Aggregators = f.knownAggregators(now, leaving)
	gauges := f.otherGauges(now)
	state := newState()
	state.addGauges(State{Offered: gauges.Offered, Endpoints: gauges.Endpoints, Services: gauges.Services})
	state.addGauges(f.ownState)
	covers := f.digestCovers(digest)
	for key := range state.Endpoints {
		if !covers(key) {
			delete(state.Endpoints, key)
		}
	}
	state.Levels = f.ownState.Levels
	known := f.directKnowledge(now)
	state.Evidence, state.Limits = known.evidence, known.mergedLimits()
	first := f.slot - reportedSlots
	state.Used = f.ownState.Used.From(first)
	state.Used.Sum(f.membersUsed.From(first))
	state.Used.Sum(f.centresUsed.From(first))
	sum := f.membersStarted.From(0)
	sum.Sum(f.centresStarted)
	state.Started = f.startedIn(sum)
	digest.State = state
	return digest
}

// CompleteUntil returns the time of day up to which the counts of all connected instances are known. wall is the
// estimated time of day.
func (f *Fleet) CompleteUntil(now, wall time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeUntil(now, wall)
}

func (f *Fleet) completeUntil(now, wall time.Time) time.Time {
	if !f.direct(now) {
		digest, _ := f.bestDigest(now)
		return digest.CompleteUntil
	}
	until := wall
	for _, member := range f.members {
		if member.fresh(now) {
			until = earlier(until, wall.Add(member.receivedAt.Sub(now)))
		}
	}
	for _, centre := range f.centres {
		if summary, ok := centre.best(now); ok {
			until = earlier(until, summary.CompleteUntil)
		}
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// StartedElsewhere returns the requests of a usage window that started at other instances, by team.
func (f *Fleet) StartedElsewhere(window int64) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := make(map[string]float64)
	for _, sum := range []Table{f.membersStarted, f.centresStarted} {
		for team := range sum {
			if n := sum.At(team, window); n > 0 {
				started[team] += n
			}
		}
	}
	for team := range f.followedStarted {
		if n := f.followedStarted.At(team, window); n > started[team] {
			started[team] = n
		}
	}
	return started
}
