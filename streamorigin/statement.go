package streamorigin

import "slices"

// Statement is what one instance tells others of the origins of streams.
type Statement struct {
	// InService holds the origins of the endpoints that the sender sees, of services with several versions. It need not be complete.
	InService map[Origin]bool
	// Entries states where streams began.
	Entries []Entry
}

// IsEmpty reports whether there is nothing to tell.
func (s Statement) IsEmpty() bool { return len(s.InService) == 0 && len(s.Entries) == 0 }

// Versions returns InService as sorted "service/version", for logs.
func (s Statement) Versions() []string {
	var versions []string
	for origin := range s.InService {
		versions = append(versions, origin.Service+"/"+origin.Version)
	}
	slices.Sort(versions)
	return versions
}
