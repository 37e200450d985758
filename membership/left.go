package membership

// leftSet is a bounded set of the incarnations that have left. The oldest are
// evicted first: by then the lagging list reflects their leave.
type leftSet struct {
	limit int
	known map[string]struct{}
	order []string
}

func newLeftSet(limit int) *leftSet {
	return &leftSet{limit: limit, known: make(map[string]struct{})}
}

func (l *leftSet) has(incarnation string) bool {
	_, ok := l.known[incarnation]
	return ok
}

// add adds incarnation and reports whether it is new.
func (l *leftSet) add(incarnation string) bool {
	if l.has(incarnation) {
		return false
	}
	if len(l.order) >= l.limit {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
	l.known[incarnation] = struct{}{}
	l.order = append(l.order, incarnation)
	return true
}
