package fleetstate

import (
	"time"
)

const (
	// SlotLength is the length of the slots by which the use of limits is counted.
	SlotLength = 250 * time.Millisecond
	// reportedSlots is the number of slots, up to the current one, that a message contains. A message replaces lost ones
	// of that time.
	reportedSlots = 8
	// retainedSlots is the number of slots for which counts are kept.
	retainedSlots = 40
	// ReportedWindows is the number of usage windows, up to the current one, that a message contains.
	ReportedWindows = 4
	// maxSlotSkew bounds the difference between the slot of a received count and the current one.
	maxSlotSkew = 16
	// minTimeout is the age above which a message is no longer used, unless its sender sends rarely.
	minTimeout = 600 * time.Millisecond
	// timeoutIntervals is the number of intervals without a message after which a sender counts as disconnected.
	timeoutIntervals = 2.5
	// maxInterval bounds the interval that a message can state.
	maxInterval = time.Second
	// reportHistory is the number of own reports that are kept, to subtract them from digests that include them.
	reportHistory = 64
	// unlistedRetention is how long an instance that is not listed is kept after its last report.
	unlistedRetention = 30 * time.Second
)

// Config configures a Fleet.
type Config struct {
	Self       Source
	DataCentre string
	// Address is the IP:PORT at which this instance receives messages.
	Address string
	// Weight ranks this instance among the candidates for an aggregator; a higher one goes first.
	Weight int
	// IsLocal reports whether the endpoint with a key is in DataCentre.
	IsLocal func(key uint32) bool
}

// timeout returns the age above which a message with the given interval is no longer used.
func timeout(interval time.Duration) time.Duration {
	return max(minTimeout, time.Duration(timeoutIntervals*float64(min(interval, maxInterval))))
}
