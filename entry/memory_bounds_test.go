package entry_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"knapweedhoist/entry"
	"knapweedhoist/internal/httpcall"
	"knapweedhoist/objectrelay"
	"knapweedhoist/platform"
)

// Guards against a process that is killed with all its requests (LOST) although each of its parts stays within its own bound, since
// the bounds together exceed the memory. The rows are those of docs/memory-bounds.md.
func TestMemoryBoundsAddUpToLessThanTheMemory(t *testing.T) {
	t.Parallel()
	const (
		// reserve is for the program, the Go runtime, the state of a deployment and the log, see docs/memory-bounds.md.
		reserve = 40 << 20
		// watches are the reads of relays at the same time, one for each kind of object.
		watches = 2
		// configFetches are the reads of another instance's configuration.
		configFetches = 1
	)
	document, err := os.ReadFile("../docs/memory-bounds.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, memoryMB := range []int{184, 284, 536} {
		b, sum := entry.MemoryBoundsOf(memoryMB), 0
		for _, row := range []struct {
			name  string
			bytes int
		}{
			{"reserve", reserve},
			{"callers' connections", b.Connections},
			{"request bodies", b.Bodies},
			{"answers and events", b.Answers},
			{"histories", b.Histories},
			{"origins of streams", b.Origins},
			{"responses of the store", httpcall.MemoryFactor * platform.MaxReplyBytes},
			{"responses of relays", (watches + configFetches) * objectrelay.MaxReplyBytes},
		} {
			sum += row.bytes
			requireCell(t, string(document), row.name, row.bytes)
		}
		requireCell(t, string(document), "sum", sum)
		if sum > memoryMB<<20 {
			t.Errorf("%d MiB: the parts may hold %.1f MiB", memoryMB, float64(sum)/(1<<20))
		}
	}
}

// requireCell checks that the row of the document's table has the number of bytes, in MiB, in one of its cells.
func requireCell(t *testing.T, document, name string, bytes int) {
	t.Helper()
	cell := fmt.Sprintf(" %.1f ", float64(bytes)/(1<<20))
	for _, line := range strings.Split(document, "\n") {
		if strings.HasPrefix(line, "| "+name+" |") && strings.Contains(line, "|"+cell+"|") {
			return
		}
	}
	t.Errorf("docs/memory-bounds.md: no row %q with%sMiB", name, cell)
}
