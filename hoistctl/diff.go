package hoistctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// printDiff prints the fields in which two items differ, one per line.
func printDiff(w io.Writer, before, after json.RawMessage) {
	oldFields, newFields := fieldsOf(before), fieldsOf(after)
	names := slices.Sorted(maps.Keys(oldFields))
	for name := range newFields {
		if _, ok := oldFields[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	same := true
	for _, name := range names {
		oldValue, newValue := oldFields[name], newFields[name]
		if bytes.Equal(oldValue, newValue) {
			continue
		}
		same = false
		_, _ = fmt.Fprintf(w, "  %s: %s -> %s\n", name, displayValue(oldValue), displayValue(newValue))
	}
	if same {
		_, _ = fmt.Fprintln(w, "  no difference")
	}
}

// fieldsOf returns the fields of an item as compact JSON; the map is empty for a
// missing item.
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

// displayValue returns the text of a field; nil is shown as unset.
func displayValue(value json.RawMessage) string {
	if value == nil {
		return "(unset)"
	}
	return string(value)
}
