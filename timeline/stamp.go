package timeline

// Stamp is a timestamp of a hybrid logical clock. If one event could have caused
// another, its stamp orders before that of the other, also across processes whose
// clocks differ by at most MaxClockSkew.
type Stamp struct {
	// WallMs is the wall-clock time in milliseconds since the Unix epoch.
	WallMs int64 `json:"wall_ms"`
	// Logical orders events with the same WallMs.
	Logical uint32 `json:"logical"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.WallMs != t.WallMs {
		return s.WallMs < t.WallMs
	}
	return s.Logical < t.Logical
}
