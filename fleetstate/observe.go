package fleetstate

import (
	"maps"
	"time"
)

// ObserveReport stores the report of another instance of the data centre. It returns false for a report that is not
// newer than the stored one of the same process start, or that comes from elsewhere.
func (f *Fleet) ObserveReport(now time.Time, report Report) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := report.Source.Instance
	if name == f.cfg.Self.Instance || name == "" || report.DataCentre != f.cfg.DataCentre {
		return false
	}
	member := f.members[name]
	if member == nil {
		member = &instanceState{excluded: f.slotsUntilNow()}
		f.members[name] = member
	}
	if !newer(report.Source, report.Sequence, member.report.Source.Boot, member.report.Sequence) {
		return false
	}
	member.report, member.receivedAt = report, now
	f.membersUsed.sumExcept(member.used.max(report.Source.Boot, f.plausible(report.State.Used)), member.excluded)
	f.membersStarted.sumExcept(member.started.max(report.Source.Boot, report.State.Started), nil)
	return true
}

// ObserveSummary stores the summary of another data centre. It returns false for a summary that is not newer than the
// stored one of the same process start, or that is of this data centre.
func (f *Fleet) ObserveSummary(now time.Time, summary Summary) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if summary.DataCentre == f.cfg.DataCentre || summary.DataCentre == "" {
		return false
	}
	centre := f.centres[summary.DataCentre]
	if centre == nil {
		centre = newCentreState(f.slotsUntilNow())
		f.centres[summary.DataCentre] = centre
	}
	last := centre.aggregators[summary.Source.Instance].message
	if !newer(summary.Source, summary.Sequence, last.Source.Boot, last.Sequence) {
		return false
	}
	centre.aggregators[summary.Source.Instance] = received[Summary]{message: summary, receivedAt: now}
	f.centresUsed.sumExcept(centre.used.increases(f.plausible(summary.State.Used)), centre.excluded)
	f.centresStarted.sumExcept(centre.started.increases(summary.State.Started), nil)
	return true
}

// ObserveDigest stores a digest of an aggregator. It returns false for a digest that is not newer than the stored one of
// the same process start, or that comes from another data centre.
func (f *Fleet) ObserveDigest(now time.Time, digest Digest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := digest.Source.Instance
	last := f.digests[name].message
	if digest.DataCentre != f.cfg.DataCentre || !newer(digest.Source, digest.Sequence, last.Source.Boot, last.Sequence) {
		return false
	}
	f.digests[name] = received[Digest]{message: digest, receivedAt: now}
	maps.DeleteFunc(f.digests, func(_ string, r received[Digest]) bool { return now.Sub(r.receivedAt) > aggregatorRetention })
	f.choice.observeDigest(now, digest)
	if best, ok := f.bestDigest(now); ok && len(best.Aggregators) > 0 {
		f.choice.peers = best.Aggregators
	}
	if digest.Live > f.directLive(now) {
		f.follow(digest)
	}
	return true
}

// slotsUntilNow returns the retained slots up to the current one, which are excluded for a sender whose first message
// arrives: it was disconnected until now.
func (f *Fleet) slotsUntilNow() slotSet {
	set := make(slotSet, retainedSlots)
	for slot := f.slot - retainedSlots; slot <= f.slot; slot++ {
		set[slot] = true
	}
	return set
}

// follow raises the counters of the other instances to those of a digest, less the own counts that it includes. An
// instance whose own sums cover as much does not follow: its own sums leave out the use of data centres in the slots in
// which this instance was disconnected from them.
func (f *Fleet) follow(digest Digest) {
	own, ok := f.includedReport(digest)
	if !ok && digest.IncludedBoot == f.cfg.Self.Boot {
		return // the own part cannot be subtracted
	}
	for team, series := range f.plausible(digest.State.Used) {
		for i, total := range series.Counts {
			slot := series.First + int64(i)
			if !f.followedExcluded[slot] {
				f.followedUsed.series(team).Raise(slot, total-own.State.Used.At(team, slot))
			}
		}
	}
	for team, series := range digest.State.Started {
		for i, total := range series.Counts {
			window := series.First + int64(i)
			f.followedStarted.series(team).Raise(window, total-own.State.Started.At(team, window))
		}
	}
}

// plausible returns counts without the slots that are far from the current one, which only a wrong clock or a malformed
// message can have.
func (f *Fleet) plausible(counts Table) Table {
	if f.slot == 0 {
		return counts
	}
	kept := make(Table, len(counts))
	for team, series := range counts {
		for i, count := range series.Counts {
			slot := series.First + int64(i)
			if count > 0 && slot >= f.slot-retainedSlots && slot <= f.slot+maxSlotSkew {
				kept.Add(team, slot, count)
			}
		}
	}
	return kept
}
