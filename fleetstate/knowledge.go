package fleetstate

import (
	"time"

	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

// knowledge is the part of states that is merged by content. Merging the same knowledge twice changes nothing, so that nothing
// has to be subtracted.
type knowledge struct {
	evidence quarantine.Evidence
	limits   []endpointlimit.Records
}

// add adds what a state contained some time ago.
func (k *knowledge) add(state State, age time.Duration) {
	k.evidence.Merge(state.Evidence.Aged(age))
	if len(state.Limits) > 0 {
		k.limits = append(k.limits, state.Limits.Aged(age))
	}
}

// mergedLimits returns the last statements about rate limits.
func (k *knowledge) mergedLimits() endpointlimit.Records { return endpointlimit.Merge(k.limits...) }

// membersKnowledge returns that of this instance and of the connected members.
func (f *Fleet) membersKnowledge(now time.Time) knowledge {
	var merged knowledge
	merged.add(f.ownState, 0)
	for _, member := range f.members {
		if member.fresh(now) {
			merged.add(member.report.State, now.Sub(member.receivedAt))
		}
	}
	return merged
}

// directKnowledge adds that of the other data centres.
func (f *Fleet) directKnowledge(now time.Time) knowledge {
	merged := f.membersKnowledge(now)
	for _, centre := range f.centres {
		for _, summary := range centre.aggregators {
			if summary.fresh(now) {
				merged.add(summary.message.State, now.Sub(summary.receivedAt))
			}
		}
	}
	return merged
}

// knowledge adds that of the aggregators' digests.
func (f *Fleet) knowledge(now time.Time) knowledge {
	merged := f.directKnowledge(now)
	for _, digest := range f.digests {
		if digest.fresh(now) {
			merged.add(digest.message.State, now.Sub(digest.receivedAt))
		}
	}
	return merged
}
