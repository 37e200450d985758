package membership

import "maps"

// successors maps leaving and left incarnations to their successors. It keeps at most
// limit entries and evicts the oldest first.
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

// setIfUnknown sets the successor only when none is known: a relayed leave may be
// older than the successor that the leaving instance announced itself.
func (s *successors) setIfUnknown(incarnation, successor string) {
	if _, ok := s.next[incarnation]; !ok {
		s.set(incarnation, successor)
	}
}

func (s *successors) copy() map[string]string {
	return maps.Clone(s.next)
}

// lastSuccessor follows next from incarnation to the last successor. Cycles
// end after maxSuccessorHops.
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
