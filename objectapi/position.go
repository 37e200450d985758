package objectapi

// Position is a position in the store's history. The zero value is before all others.
type Position struct {
	Era     Era
	Version Version
}

// After reports whether p is later than other. Versions are ordered within one era only: a return of the store gives them out again.
func (p Position) After(other Position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Version > other.Version
}
