package fleetstate

import (
	"time"
)

// instanceState is what this instance knows of another one of its data centre from that one's reports.
type instanceState struct {
	report     Report
	receivedAt time.Time
	// used and started are the counters of the instance's latest process starts.
	used, started bootCounters
	// excluded holds the slots in which the instance was disconnected. Its part of the limits was not available to the
	// others then, so that its use in these slots does not count.
	excluded slotSet
}

func (s *instanceState) fresh(now time.Time) bool {
	return now.Sub(s.receivedAt) <= timeout(s.report.Interval)
}

// newer reports whether a message with the given source and sequence is newer than the last one, or of another process
// start.
func newer(source Source, sequence uint64, lastBoot, lastSequence uint64) bool {
	return source.Boot != lastBoot || sequence > lastSequence
}

// bootCounters holds the counters of the latest process starts of an instance. Counts of one start are merged by their
// maximum; a late report of the start before must not add to those of the current one.
type bootCounters struct {
	boots  [2]uint64
	tables [2]Table
}

// max merges the counts of a process start and returns the increases.
func (c *bootCounters) max(boot uint64, counts Table) Table {
	for i, known := range c.boots {
		if known == boot && c.tables[i] != nil {
			return c.tables[i].increases(counts)
		}
	}
	c.boots[1], c.tables[1] = c.boots[0], c.tables[0]
	c.boots[0], c.tables[0] = boot, make(Table)
	return c.tables[0].increases(counts)
}
