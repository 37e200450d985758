package settings

import "time"

// DefaultDistance is the one-way latency to a data centre that Distances does not name.
const DefaultDistance = 40 * time.Millisecond

// DistanceTo returns the one-way latency to a data centre.
func (s Settings) DistanceTo(datacentre string) time.Duration {
	if datacentre == s.Datacentre {
		return 0
	}
	if distance, named := s.Distances[datacentre]; named {
		return time.Duration(distance)
	}
	return DefaultDistance
}

// DistanceTable returns Distances as durations.
func (s Settings) DistanceTable() map[string]time.Duration {
	table := make(map[string]time.Duration, len(s.Distances))
	for datacentre, distance := range s.Distances {
		table[datacentre] = time.Duration(distance)
	}
	return table
}
