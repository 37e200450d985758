package membership

import "maps"

// successors maps incarnations that are leaving or have left to their successors. It keeps
// at most limit entries and evicts the oldest first.
type successors struct {
	limit int
	next  map[string]string
	order []string
}

func newSuccessors(limit int) *successors {
	return &successors{limit: limit, next: make(map[string]string)}
}

// set sets the successor of incarnation and reports whether the successor is new or has changed.
func (s *successors) set(incarnation, successor string) bool {
	if successor == "" || successor == incarnation || s.next[incarnation] == successor {
		return false
	}
	if _, ok := s.next[incarnation]; !ok {
		if len(s.order) >= s.limit {
			delete(s.next, s.order[0])
			s.order = s.order[1:]
		}
		s.order = append(s.order, incarnation)
	}
	s.next[incarnation] = successor
	return true
}

// setIfUnknown sets the successor only when none is known: a leave message
// relayed by a peer may be older than the successor announced by the leaving instance.
func (s *successors) setIfUnknown(incarnation, successor string) {
	if _, ok := s.next[incarnation]; !ok {
		s.set(incarnation, successor)
	}
}

func (s *successors) copy() map[string]string {
	return maps.Clone(s.next)
}

// lastSuccessor follows next from incarnation for at most maxSuccessorHops steps, which also
// bounds cycles, and returns the last successor reached; false if incarnation has no
// successor.
func lastSuccessor(next map[string]string, incarnation string) (string, bool) {
	last, found := incarnation, false
	for range maxSuccessorHops {
		successor, ok := next[last]
		if !ok {
			break
		}
		last, found = successor, true
	}
	return last, found
}
