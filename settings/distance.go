package settings

import "time"

// DefaultDistance is the assumed one-way latency to a data centre that is not in Settings.Distances.
const DefaultDistance = 40 * time.Millisecond

// DistanceTo returns the one-way latency to a data centre: 0 for the instance's own,
// DefaultDistance for one that is not in Distances.
func (s Settings) DistanceTo(datacentre string) time.Duration {
	if datacentre == s.Datacentre {
		return 0
	}
	if distance, ok := s.Distances[datacentre]; ok {
		return time.Duration(distance)
	}
	return DefaultDistance
}

// DistanceTable returns a copy of Distances with values of type time.Duration.
func (s Settings) DistanceTable() map[string]time.Duration {
	table := make(map[string]time.Duration, len(s.Distances))
	for datacentre, distance := range s.Distances {
		table[datacentre] = time.Duration(distance)
	}
	return table
}
