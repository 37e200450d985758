package hoistctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// printDiff writes the fields in which two items differ, one a line.
func printDiff(w io.Writer, before, after json.RawMessage) {
	old, current := fieldsOf(before), fieldsOf(after)
	names := slices.Sorted(maps.Keys(old))
	for name := range current {
		if _, ok := old[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	same := true
	for _, name := range names {
		was, is := old[name], current[name]
		if bytes.Equal(was, is) {
			continue
		}
		same = false
		_, _ = fmt.Fprintf(w, "  %s: %s -> %s\n", name, shown(was), shown(is))
	}
	if same {
		_, _ = fmt.Fprintln(w, "  no difference")
	}
}

// fieldsOf returns an item's fields as compact JSON; none for a missing item.
func fieldsOf(item json.RawMessage) map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage)
	_ = json.Unmarshal(item, &fields) // a missing item has no fields
	for name, value := range fields {
		var compact bytes.Buffer
		if json.Compact(&compact, value) == nil {
			fields[name] = compact.Bytes()
		}
	}
	return fields
}

func shown(value json.RawMessage) string {
	if value == nil {
		return "(unset)"
	}
	return string(value)
}
