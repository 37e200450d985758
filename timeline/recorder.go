package timeline

// Recorder records events. Implementations must be safe for concurrent use,
// must not block, and set the event's stamp, instance and data centre.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that discards every event.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Event) {}
