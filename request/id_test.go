package request

import (
	"strings"
	"testing"
)

// Guards against ids that are accepted in more than one text form, and against
// panics on malformed ids.
func FuzzParseID(f *testing.F) {
	for _, seed := range []string{
		incarnation + "-1", incarnation + "-18446744073709551615", incarnation + "-18446744073709551616",
		incarnation + "-01", incarnation + "-0", incarnation + "--1", incarnation + "-", incarnation, "", "-1",
		strings.ToLower(incarnation) + "-1", "81ZZZZZZZZZZZZZZZZZZZZZZZZ-1", incarnation + "-1 ",
		incarnation[:25] + "U-1", incarnation[:25] + "é-1", strings.Repeat("1", 10000),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err != nil {
			return
		}
		if id.String() != text || id.Sequence == 0 || len(text) > MaxIDLength {
			t.Fatalf("%q was parsed as %q", text, id)
		}
	})
}

// Guards against a handover that sends its messages in a different order in each
// replay of the same run, which the random order of a map's keys would cause.
func TestInProgressIsInOrderOfIDs(t *testing.T) {
	registry := NewRegistry(incarnation, newReporter(), Config{})
	for range 50 {
		if _, err := registry.Create(start, modelSpec(registry)); err != nil {
			t.Fatal(err)
		}
	}
	for i, entry := range registry.InProgress() {
		if entry.Spec().ID.Sequence != uint64(i+1) {
			t.Fatalf("position %d has request %s", i, entry.Spec().ID)
		}
	}
}
