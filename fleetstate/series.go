package fleetstate

import "slices"

// maxSlots is the number of consecutive slots that a Series holds.
const maxSlots = 64

// Series is a grow-only counter for each of a run of consecutive slots of time. The zero Series has no slot.
type Series struct {
	// First is the slot of Counts[0].
	First  int64
	Counts []float64
}

// At returns the count of a slot, 0 for a slot outside the run.
func (s Series) At(slot int64) float64 {
	if slot < s.First || slot >= s.First+int64(len(s.Counts)) {
		return 0
	}
	return s.Counts[slot-s.First]
}

// Add adds an amount to the count of a slot.
func (s *Series) Add(slot int64, amount float64) {
	if amount > 0 && s.extend(slot) {
		s.Counts[slot-s.First] += amount
	}
}

// Raise raises the count of a slot to value and returns the increase, 0 if the count is not lower.
func (s *Series) Raise(slot int64, value float64) float64 {
	if value <= s.At(slot) || !s.extend(slot) {
		return 0
	}
	increase := value - s.Counts[slot-s.First]
	s.Counts[slot-s.First] = value
	return increase
}

// From returns a copy of the counts of the slots from first on.
func (s Series) From(first int64) Series {
	skipped := min(max(first-s.First, 0), int64(len(s.Counts)))
	return Series{First: s.First + skipped, Counts: slices.Clone(s.Counts[skipped:])}
}

// Total returns the sum of all counts.
func (s Series) Total() float64 {
	total := 0.0
	for _, count := range s.Counts {
		total += count
	}
	return total
}

// extend adds slots up to the given one and drops the oldest beyond maxSlots. It returns false for a slot that is too
// old to be kept.
func (s *Series) extend(slot int64) bool {
	if len(s.Counts) == 0 {
		s.First, s.Counts = slot, append(s.Counts[:0], 0)
		return true
	}
	if slot < s.First {
		missing := s.First - slot
		if missing+int64(len(s.Counts)) > maxSlots {
			return false
		}
		s.Counts = slices.Insert(s.Counts, 0, make([]float64, missing)...)
		s.First = slot
		return true
	}
	if slot-s.First >= 2*maxSlots {
		s.First, s.Counts = slot, append(s.Counts[:0], 0)
		return true
	}
	for s.First+int64(len(s.Counts)) <= slot {
		s.Counts = append(s.Counts, 0)
	}
	if excess := len(s.Counts) - maxSlots; excess > 0 {
		s.Counts = append(s.Counts[:0], s.Counts[excess:]...)
		s.First += int64(excess)
	}
	return true
}
