package heartbeat

// replayFilter holds the replay windows of at most maxReplayWindows incarnations. At
// that limit a new incarnation evicts the one added first, whose datagrams are then accepted again.
type replayFilter struct {
	byIncarnation map[string]*replayWindow
	incarnations  []string // in the order in which they were added
}

func newReplayFilter() *replayFilter {
	return &replayFilter{byIncarnation: make(map[string]*replayWindow)}
}

// accept reports whether sequence is new for the incarnation, and marks it as received.
func (f *replayFilter) accept(incarnation string, sequence uint64) bool {
	window, ok := f.byIncarnation[incarnation]
	if !ok {
		if len(f.incarnations) >= maxReplayWindows {
			delete(f.byIncarnation, f.incarnations[0])
			f.incarnations = f.incarnations[1:]
		}
		window = &replayWindow{}
		f.byIncarnation[incarnation] = window
		f.incarnations = append(f.incarnations, incarnation)
	}
	return window.accept(sequence)
}
