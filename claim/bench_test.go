package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"knapweedhoist/objectapi"
)

// typicalRecords returns the two records of call i: its claim, and its end with an answer of 200 bytes.
func typicalRecords(i int) (Record, Record) {
	id := fmt.Sprintf("01J0000000000000000000000A-%d", 1_000_000+i)
	r := Record{State: StateClaimed, Key: BodyHash([]byte(id)), RequestID: id, AtMs: 1_800_000_000_000}
	r.ExpiryMs = r.AtMs + DefaultRetention.Milliseconds()
	done := r
	done.State, done.Status, done.Kept, done.ContentType, done.Answer = StateFinished, 200, true, "application/json", make([]byte, 200)
	return r, done
}

// BenchmarkReplay measures the time and memory per key of a takeover: decoding full slots and indexing their records.
func BenchmarkReplay(b *testing.B) {
	const keysPerSlot = 10
	slots := make([]objectapi.Object, b.N/keysPerSlot+1)
	for n := range slots {
		slot := Slot{Epoch: 1, Owner: "01J0000000000000000000000A"}
		for i := range keysPerSlot {
			claim, done := typicalRecords(n*keysPerSlot + i)
			slot.Records = append(slot.Records, claim, done)
		}
		slots[n] = objectapi.Object{Name: slotName(0, uint64(n+1)), Version: 1, Value: slot.encode()}
	}
	s := NewShard(discardLog, Config{})
	s.index = make(map[Hash]*entry)
	before := heapBytes()
	var out Output
	b.ResetTimer()
	for _, object := range slots {
		s.replay(time.UnixMilli(0), object, &out)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "retained-bytes/op")
	runtime.KeepAlive(s)
	runtime.KeepAlive(slots)
}

// heapBytes returns the bytes of reachable heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRecordBytes reports the sizes of the two records of a typical call.
func BenchmarkRecordBytes(b *testing.B) {
	claim, done := typicalRecords(1)
	for b.Loop() {
		_ = claim.appendTo(nil)
	}
	b.ReportMetric(float64(len(claim.appendTo(nil))), "claim-bytes")
	b.ReportMetric(float64(len(done.appendTo(nil))), "done200-bytes")
}
