package streamorigin

import (
	"slices"
	"time"
)

// clockTolerance is by how much the estimates of the time of day of two instances may differ.
const clockTolerance = 10 * time.Second

// Statement is what one instance tells others of the origins of streams.
type Statement struct {
	// InService holds the origins of the endpoints that the sender sees, of services with several versions. It need not be complete.
	InService map[Origin]bool
	// Entries states where streams began.
	Entries []Entry
	// WrittenAt is the sender's estimate of the time of day, the zero time if it is not stated.
	WrittenAt time.Time
}

// IsEmpty reports whether there is nothing to tell.
func (s Statement) IsEmpty() bool { return len(s.InService) == 0 && len(s.Entries) == 0 }

// Aged returns the statement with the entries that still count at a time of day. Their remaining times are shorter by the age of the
// statement as far as that exceeds clockTolerance; they never become longer.
func (s Statement) Aged(wall time.Time) Statement {
	age := wall.Sub(s.WrittenAt) - clockTolerance
	if s.WrittenAt.IsZero() || age <= 0 {
		return s
	}
	var entries []Entry
	for _, entry := range s.Entries {
		if entry.Remaining -= age; entry.Remaining > 0 {
			entries = append(entries, entry)
		}
	}
	s.Entries = entries
	return s
}

// Versions returns InService as sorted "service/version", for logs.
func (s Statement) Versions() []string {
	var versions []string
	for origin := range s.InService {
		versions = append(versions, origin.Service+"/"+origin.Version)
	}
	slices.Sort(versions)
	return versions
}
