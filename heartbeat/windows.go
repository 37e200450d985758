package heartbeat

// windows holds the windows of a bounded number of incarnations. The oldest
// is forgotten first; its next datagram is then accepted again.
type windows struct {
	byIncarnation map[string]*window
	oldest        []string
}

func newWindows() *windows {
	return &windows{byIncarnation: make(map[string]*window)}
}

func (w *windows) accept(incarnation string, sequence uint64) bool {
	seen, ok := w.byIncarnation[incarnation]
	if !ok {
		if len(w.oldest) >= maxWindows {
			delete(w.byIncarnation, w.oldest[0])
			w.oldest = w.oldest[1:]
		}
		seen = &window{}
		w.byIncarnation[incarnation] = seen
		w.oldest = append(w.oldest, incarnation)
	}
	return seen.accept(sequence)
}
