package streamorigin

import "slices"

const (
	// announcementCount is the number of messages that tell all other instances of a version, since messages are lost.
	announcementCount = 3
	// maxInService bounds the versions that one message states as in service.
	maxInService = 256
)

// announcements holds the versions that this instance has to tell all others of. It is not safe for concurrent use.
type announcements struct {
	// pending holds the versions in the order in which they were listed.
	pending []announcement
}

type announcement struct {
	origin Origin
	left   int
}

// add schedules the announcement of a version.
func (a *announcements) add(origin Origin) {
	a.pending = slices.DeleteFunc(a.pending, func(p announcement) bool { return p.origin == origin })
	a.pending = append(a.pending, announcement{origin: origin, left: announcementCount})
}

// cancel drops a version that another instance announces, unless this one has begun to.
func (a *announcements) cancel(origin Origin) {
	a.pending = slices.DeleteFunc(a.pending, func(p announcement) bool { return p.origin == origin && p.left == announcementCount })
}

// take returns the versions for the next message.
func (a *announcements) take() map[Origin]bool {
	n := min(len(a.pending), maxInService)
	if n == 0 {
		return nil
	}
	origins := make(map[Origin]bool, n)
	var again []announcement
	for _, p := range a.pending[:n] {
		origins[p.origin] = true
		if p.left--; p.left > 0 {
			again = append(again, p)
		}
	}
	a.pending = slices.Concat(a.pending[n:], again)
	return origins
}
