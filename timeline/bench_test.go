package timeline_test

import (
	"testing"
	"time"

	"knapweedhoist/timeline"
)

// BenchmarkRecord measures recording one event in a ring that becomes full after 1024 events.
func BenchmarkRecord(b *testing.B) {
	ring := timeline.NewRing(timeline.NewClock(time.Now), "entry-1", "kol-a", 1024)
	for b.Loop() {
		ring.Record(timeline.Event{Kind: timeline.KindAttempt, Request: "01JE-7", Attempt: 1})
	}
}
