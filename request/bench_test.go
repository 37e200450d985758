package request

import (
	"testing"
	"time"
)

// BenchmarkEvents measures the throughput of tokens from Entry.AppendToken to a reader.
func BenchmarkEvents(b *testing.B) {
	registry := NewRegistry(incarnation, newReporter(), Config{})
	const tokensPerRequest = 1000
	buffer := make([]Event, 0, 16)
	b.ReportAllocs()
	for i := 0; i < b.N; i += tokensPerRequest {
		// At this time the retention of the previous request has passed, so that Create removes it.
		entry, err := registry.Create(start.Add(time.Duration(i)*time.Hour), modelSpec(registry))
		if err != nil {
			b.Fatal(err)
		}
		_ = entry.Admit()
		number, _, _ := entry.BeginAttempt()
		_ = entry.MarkSent(number)
		reader, _ := entry.Subscribe(0)
		for index := range min(tokensPerRequest, b.N-i) {
			if err := entry.AppendToken(number, index, " token"); err != nil {
				b.Fatal(err)
			}
			<-reader.Ready()
			if events, _ := reader.Next(buffer); len(events) != 1 {
				b.Fatal(len(events))
			}
		}
		reader.Close()
		_ = entry.Finish(start, Finish{Outcome: OutcomeRan, FinishReason: "stop"})
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
