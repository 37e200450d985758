package membership

// leftSet is a bounded set of the incarnations that are leaving or have left. The oldest
// are evicted first: by then the lagging list shows that they have left.
type leftSet struct {
	limit        int
	incarnations map[string]struct{}
	order        []string
}

func newLeftSet(limit int) *leftSet {
	return &leftSet{limit: limit, incarnations: make(map[string]struct{})}
}

func (l *leftSet) has(incarnation string) bool {
	_, ok := l.incarnations[incarnation]
	return ok
}

// add adds incarnation and reports whether it is new.
func (l *leftSet) add(incarnation string) bool {
	if l.has(incarnation) {
		return false
	}
	if len(l.order) >= l.limit {
		delete(l.incarnations, l.order[0])
		l.order = l.order[1:]
	}
	l.incarnations[incarnation] = struct{}{}
	l.order = append(l.order, incarnation)
	return true
}
