package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Merge returns the events of many processes in one causal order: an event
// that could have caused another comes before it, unless the clocks of their
// processes differ by more than MaxClockSkew. Duplicates, which occur if the
// same instance was queried twice, are removed.
func Merge(streams ...[]Event) []Event {
	merged := slices.Concat(streams...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool { return a == b })
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.WallMs, b.Stamp.WallMs),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}

// Newest returns the last limit events of a merged timeline; a limit of 0 means no limit.
func Newest(events []Event, limit int) []Event {
	return Filter{Limit: limit}.newest(events)
}

// Encode returns each event as JSON, for wire.TimelineEvents.
func Encode(events []Event) ([][]byte, error) {
	encoded := make([][]byte, 0, len(events))
	for _, event := range events {
		item, err := json.Marshal(event)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, item)
	}
	return encoded, nil
}

// Decode parses the events that Encode returned. It fails on the first one that is not valid JSON of an Event.
func Decode(encoded [][]byte) ([]Event, error) {
	events := make([]Event, len(encoded))
	for i, item := range encoded {
		if err := json.Unmarshal(item, &events[i]); err != nil {
			return nil, err
		}
	}
	return events, nil
}
