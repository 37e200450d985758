package timeline

// Stamp is a reading of a hybrid logical clock. Stamps of causally related
// events order like the events, also between processes with skewed clocks.
type Stamp struct {
	// WallMs is in milliseconds since the Unix epoch.
	WallMs  int64  `json:"wall_ms"`
	Logical uint32 `json:"logical"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.WallMs != t.WallMs {
		return s.WallMs < t.WallMs
	}
	return s.Logical < t.Logical
}
