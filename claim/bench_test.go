package claim

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReplay measures the memory and time of a takeover per record.
func BenchmarkReplay(b *testing.B) {
	b.ReportAllocs()
	s := NewShard(discardLog, Config{})
	s.index = make(map[Hash]*entry, b.N)
	at := time.UnixMilli(1_800_000_000_000).UnixMilli()
	for i := range b.N {
		id := fmt.Sprintf("01J0000000000000000000000A-%d", i)
		s.replayRecord(1, Record{State: StateClaimed, Key: BodyHash([]byte(id)), RequestID: id, AtMs: at, ExpiryMs: at + 1})
	}
}

// BenchmarkRecordBytes reports the size of the two records of a usual call.
func BenchmarkRecordBytes(b *testing.B) {
	r := Record{State: StateClaimed, RequestID: "01J0000000000000000000000A-1234567", AtMs: 1_800_000_000_000}
	r.ExpiryMs = r.AtMs + DefaultRetention.Milliseconds()
	done := r
	done.State, done.Status, done.Kept, done.ContentType, done.Answer = StateDone, 200, true, "application/json", make([]byte, 200)
	for b.Loop() {
		_ = r.append(nil)
	}
	b.ReportMetric(float64(len(r.append(nil))), "claim-bytes")
	b.ReportMetric(float64(len(done.append(nil))), "done200-bytes")
}
