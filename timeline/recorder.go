package timeline

// Recorder takes events. Implementations are safe for concurrent use, do not
// block, and set the stamp, the instance and its data centre.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that drops every event.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Event) {}
