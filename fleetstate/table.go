package fleetstate

// Table holds a Series for each team.
type Table map[string]*Series

// series returns the series of a team, which it creates if necessary.
func (t Table) series(team string) *Series {
	s := t[team]
	if s == nil {
		s = &Series{}
		t[team] = s
	}
	return s
}

// get returns the series of a team, an empty one if there is none.
func (t Table) get(team string) Series {
	if s := t[team]; s != nil {
		return *s
	}
	return Series{}
}

// At returns the count of a team in a slot.
func (t Table) At(team string, slot int64) float64 { return t.get(team).At(slot) }

// Add adds an amount to the count of a team in a slot.
func (t Table) Add(team string, slot int64, amount float64) { t.series(team).Add(slot, amount) }

// Sum adds the counts of other.
func (t Table) Sum(other Table) { t.sumExcept(other, nil) }

// sumExcept adds the counts of other in the slots that are not excluded.
func (t Table) sumExcept(other Table, excluded slotSet) {
	for team, s := range other {
		own := t.series(team)
		for i, count := range s.Counts {
			if slot := s.First + int64(i); !excluded[slot] {
				own.Add(slot, count)
			}
		}
	}
}

// increases raises each count to that of other and returns the increases.
func (t Table) increases(other Table) Table {
	increases := make(Table)
	for team, s := range other {
		own := t.series(team)
		for i, count := range s.Counts {
			slot := s.First + int64(i)
			if increase := own.Raise(slot, count); increase > 0 {
				increases.Add(team, slot, increase)
			}
		}
	}
	return increases
}

// From returns a copy of the counts of the slots from first on, without teams that have none.
func (t Table) From(first int64) Table {
	copied := make(Table, len(t))
	for team, s := range t {
		if recent := s.From(first); recent.Total() > 0 {
			copied[team] = &recent
		}
	}
	return copied
}

// slotSet is a set of slots.
type slotSet map[int64]bool

// deleteBefore removes the slots before first.
func (s slotSet) deleteBefore(first int64) {
	for slot := range s {
		if slot < first {
			delete(s, slot)
		}
	}
}
