package timeline

// Filter selects events that match all its fields. An empty field matches every event.
type Filter struct {
	Request  string
	Preset   string
	Endpoint string
	Team     string
	Kind     Kind
	Instance string
	// SinceMs and UntilMs bound the wall-clock time t of the stamp:
	// SinceMs <= t < UntilMs, in milliseconds since the Unix epoch; 0 means no
	// bound.
	SinceMs int64
	UntilMs int64
	// Limit is the number of newest matching events to keep; 0 means no limit.
	Limit int
}

// Match reports whether the event matches all fields; Limit is not considered.
func (f Filter) Match(e Event) bool {
	return emptyOrEqual(f.Request, e.Request) && emptyOrEqual(f.Preset, e.Preset) &&
		emptyOrEqual(f.Endpoint, e.Endpoint) && emptyOrEqual(f.Team, e.Team) &&
		emptyOrEqual(string(f.Kind), string(e.Kind)) && emptyOrEqual(f.Instance, e.Instance) &&
		e.Stamp.WallMs >= f.SinceMs && (f.UntilMs == 0 || e.Stamp.WallMs < f.UntilMs)
}

func emptyOrEqual(want, got string) bool {
	return want == "" || want == got
}

// newest returns the last Limit events, or all if Limit is 0.
func (f Filter) newest(events []Event) []Event {
	if f.Limit <= 0 || len(events) <= f.Limit {
		return events
	}
	return events[len(events)-f.Limit:]
}
