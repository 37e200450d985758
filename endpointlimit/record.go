package endpointlimit

import (
	"cmp"
	"slices"
	"time"
)

// MaxRecords is the number of Records in a message.
const MaxRecords = 256

// Record is the last statement of one process, as instances tell each other.
type Record struct {
	// Process identifies the process of the endpoint, see quarantine.ProcessKey.
	Process uint64
	// PerSecond is the limit in requests a second. It is finite and not negative.
	PerSecond float32
	// Ended is set if the process has no limit any more.
	Ended bool
	// Age is the time since the statement: since the answer was read, or since its request was sent if it lifted or raised a
	// limit.
	Age time.Duration
}

// supersedes reports whether r counts instead of other, a statement of the same process.
func (r Record) supersedes(other Record) bool {
	switch {
	case r.Age != other.Age:
		return r.Age < other.Age
	case r.Ended != other.Ended:
		return other.Ended
	default:
		return r.PerSecond < other.PerSecond
	}
}

// Records holds at most one Record for each process.
type Records []Record

// Aged returns the records as they are after a further time.
func (r Records) Aged(by time.Duration) Records {
	aged := slices.Clone(r)
	for i := range aged {
		aged[i].Age += by
	}
	return aged
}

// clockTolerance is the part of a message's delay that may be the difference between two estimates of the time of day.
const clockTolerance = 100 * time.Millisecond

// Delayed returns the records of a message that was on its way or unread for the given time. The ends of limits get older by all
// of it, so that none counts as younger than it is. Limits get older by what exceeds clockTolerance: without that, those that
// instances tell each other again and again would hardly get older, and not end.
func (r Records) Delayed(by time.Duration) Records {
	delayed := slices.Clone(r)
	for i := range delayed {
		if delayed[i].Ended {
			delayed[i].Age += max(by, 0)
		} else {
			delayed[i].Age += max(by-clockTolerance, 0)
		}
	}
	return delayed
}

// Merge returns the records of all lists, which are of the same time, with one for each process. Merging the same records again
// changes nothing. Of more than MaxRecords, the newest are kept.
func Merge(lists ...Records) Records {
	var merged Records
	index := make(map[uint64]int)
	for _, list := range lists {
		for _, record := range list {
			i, known := index[record.Process]
			switch {
			case !known:
				index[record.Process] = len(merged)
				merged = append(merged, record)
			case record.supersedes(merged[i]):
				merged[i] = record
			}
		}
	}
	if len(merged) > MaxRecords {
		slices.SortFunc(merged, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process))
		})
		merged = merged[:MaxRecords]
	}
	return merged
}
