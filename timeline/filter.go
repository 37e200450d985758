package timeline

// Filter selects events. Empty fields select everything.
type Filter struct {
	Request  string
	Preset   string
	Endpoint string
	Team     string
	Kind     Kind
	Instance string
	// SinceMs and UntilMs bound the wall clock: SinceMs <= t < UntilMs, in
	// milliseconds since the Unix epoch; 0 is no bound.
	SinceMs int64
	UntilMs int64
	// Limit keeps the newest events; 0 is no limit.
	Limit int
}

// Match reports whether the event passes all fields but Limit.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Preset, e.Preset) &&
		matches(f.Endpoint, e.Endpoint) && matches(f.Team, e.Team) &&
		matches(string(f.Kind), string(e.Kind)) && matches(f.Instance, e.Instance) &&
		e.Stamp.WallMs >= f.SinceMs && (f.UntilMs == 0 || e.Stamp.WallMs < f.UntilMs)
}

func matches(want, got string) bool {
	return want == "" || want == got
}

// newest returns the last Limit events.
func (f Filter) newest(events []Event) []Event {
	if f.Limit <= 0 || len(events) <= f.Limit {
		return events
	}
	return events[len(events)-f.Limit:]
}
