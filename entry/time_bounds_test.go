package entry_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"knapweedhoist/entry"
	"knapweedhoist/platform"
	"knapweedhoist/streamorigin"
)

// Guards against requests to endpoints that left, and configurations that apply late, because of a constant that is changed
// without the others that its bound depends on. The rows are those of docs/time-bounds.md.
func TestStoreTimesAddUpToLessThanTheirBounds(t *testing.T) {
	t.Parallel()
	const answer, contact = 100 * time.Millisecond, 3 * time.Second
	s := entry.DefaultStoreTimes()
	document, err := os.ReadFile("../docs/time-bounds.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		name       string
		sum, bound time.Duration
	}{
		{"silent watch", s.WatchWait + platform.WatchMargin + s.FirstBackoff + answer, s.Bound},
		{"lost relay", s.RelayWait + s.RelayMargin + s.SharedGap + answer, s.Bound},
		{"end of a cut", platform.DefaultCallTimeout + s.RelayWait + s.RelayMargin + s.MaxBackoff + answer, contact},
		{"origin of a stream", s.OriginStoreInterval + streamorigin.ReadInterval(8) + answer, s.FindLimit},
		{"origin of a stream, 295 instances", s.OriginStoreInterval + streamorigin.ReadInterval(295) + answer, s.FindLimit},
		{"sign of an outage", s.AbsenceLimit + s.ControlInterval, s.Bound},
	} {
		if row.sum > row.bound {
			t.Errorf("%s: %v, bound %v", row.name, row.sum, row.bound)
		}
		if want := "| " + row.name + " |"; !strings.Contains(string(document), want) || !strings.Contains(string(document), "| "+
			row.sum.String()+" | "+row.bound.String()+" |") {
			t.Errorf("docs/time-bounds.md lacks the row %q with the sum %v and the bound %v", row.name, row.sum, row.bound)
		}
	}
	if s.SimCallTimeout != platform.DefaultCallTimeout || s.SimWatchMargin != platform.WatchMargin {
		t.Errorf("own_loss_test.go simulates other timeouts: %v and %v", s.SimCallTimeout, s.SimWatchMargin)
	}
}
