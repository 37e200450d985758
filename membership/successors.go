package membership

import "maps"

// successors maps departed incarnations to their successors, up to a bound.
type successors struct {
	limit  int
	next   map[string]string
	oldest []string
}

func newSuccessors(limit int) *successors {
	return &successors{limit: limit, next: make(map[string]string)}
}

// set reports whether the successor is new or has changed.
func (s *successors) set(incarnation, successor string) bool {
	if successor == "" || successor == incarnation || s.next[incarnation] == successor {
		return false
	}
	if _, ok := s.next[incarnation]; !ok {
		if len(s.oldest) >= s.limit {
			delete(s.next, s.oldest[0])
			s.oldest = s.oldest[1:]
		}
		s.oldest = append(s.oldest, incarnation)
	}
	s.next[incarnation] = successor
	return true
}

// setFirst sets the successor only when none is known: a relayed leave may be
// older than what the departing instance has said itself since.
func (s *successors) setFirst(incarnation, successor string) {
	if _, ok := s.next[incarnation]; !ok {
		s.set(incarnation, successor)
	}
}

func (s *successors) copy() map[string]string {
	return maps.Clone(s.next)
}

// lastSuccessor follows next from incarnation to the last successor. A cycle
// ends at the bound on hops.
func lastSuccessor(next map[string]string, incarnation string) (string, bool) {
	last, found := incarnation, false
	for range maxHops {
		successor, ok := next[last]
		if !ok {
			break
		}
		last, found = successor, true
	}
	return last, found
}
