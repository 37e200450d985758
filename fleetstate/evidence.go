package fleetstate

import (
	"time"

	"knapweedhoist/quarantine"
)

// membersEvidence returns the evidence of this instance and of the connected members. Merging the same evidence twice changes
// nothing, so that nothing has to be subtracted.
func (f *Fleet) membersEvidence(now time.Time) quarantine.Evidence {
	var merged quarantine.Evidence
	merged.Merge(f.ownState.Evidence)
	for _, member := range f.members {
		if member.fresh(now) {
			merged.Merge(member.report.State.Evidence.Aged(now.Sub(member.receivedAt)))
		}
	}
	return merged
}

// directEvidence adds that of the other data centres.
func (f *Fleet) directEvidence(now time.Time) quarantine.Evidence {
	merged := f.membersEvidence(now)
	for _, centre := range f.centres {
		for _, summary := range centre.aggregators {
			if summary.fresh(now) {
				merged.Merge(summary.message.State.Evidence.Aged(now.Sub(summary.receivedAt)))
			}
		}
	}
	return merged
}

// evidence adds that of the aggregators' digests.
func (f *Fleet) evidence(now time.Time) quarantine.Evidence {
	merged := f.directEvidence(now)
	for _, digest := range f.digests {
		if digest.fresh(now) {
			merged.Merge(digest.message.State.Evidence.Aged(now.Sub(digest.receivedAt)))
		}
	}
	return merged
}
