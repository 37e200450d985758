package entry

import (
	"time"

	"knapweedhoist/objectwatch"
)

// StoreTimes holds the times of the chain from a change of the store to an instance that reads it.
type StoreTimes struct {
	Bound, WatchWait, RelayWait, RelayMargin, SharedGap, ControlInterval, AbsenceLimit time.Duration
	FirstBackoff, MaxBackoff, SimCallTimeout, SimWatchMargin                           time.Duration
}

// DefaultStoreTimes returns the times of the default settings, those of the smallest deployments.
func DefaultStoreTimes() StoreTimes {
	s := DefaultSettings()
	return StoreTimes{
		Bound: milliseconds(min(s.ApplyMS, s.LeaveMS)), WatchWait: s.watchWait(), RelayWait: s.relayWait(), RelayMargin: s.relayMargin(),
		SharedGap: s.sharedWatchGap(), ControlInterval: controlInterval, AbsenceLimit: s.absenceLimit(),
		FirstBackoff: objectwatch.DefaultBackoff, MaxBackoff: objectwatch.DefaultMaxBackoff,
		SimCallTimeout: simCallTimeout, SimWatchMargin: simWatchMargin,
	}
}
