package membership

// left remembers the incarnations that have left, up to a bound. The oldest
// are forgotten first: by then the list has caught up.
type left struct {
	limit  int
	known  map[string]struct{}
	oldest []string
}

func newLeft(limit int) *left {
	return &left{limit: limit, known: make(map[string]struct{})}
}

func (l *left) has(incarnation string) bool {
	_, ok := l.known[incarnation]
	return ok
}

// add reports whether incarnation is new.
func (l *left) add(incarnation string) bool {
	if l.has(incarnation) {
		return false
	}
	if len(l.oldest) >= l.limit {
		delete(l.known, l.oldest[0])
		l.oldest = l.oldest[1:]
	}
	l.known[incarnation] = struct{}{}
	l.oldest = append(l.oldest, incarnation)
	return true
}
