package membership_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/engine"
	"knapweedhoist/invariant"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

type discardViolations struct{}

func (discardViolations) Violated(invariant.Violation) {}

// designTable returns the table of one of 360 entry instances, with 640 endpoints, in 6 data centres.
func designTable() *membership.Table {
	incarnation := func(i int) string { return fmt.Sprintf("01JE%022d", i) }
	table := membership.NewTable(membership.Config{
		ID: "entry-000", Incarnation: incarnation(0), Datacentre: "kol-0", PeerAddress: "10.0.0.1:7400",
		DatagramAddress: "10.0.0.1:7401", OperatorAddress: "10.0.0.1:7402",
	}, discardViolations{}, timeline.Discard, start)
	var entries []membership.Entry
	for i := range 640 {
		entries = append(entries, membership.Entry{
			ID: fmt.Sprintf("scribe-pool-%03d", i), Incarnation: incarnation(1000 + i), Kind: membership.KindEndpoint,
			Service: "scribe-pool", Datacentre: fmt.Sprintf("kol-%d", i%6), Address: fmt.Sprintf("10.1.0.%d:80", i),
		})
	}
	table.ApplyList(start, entries)
	for i := 1; i < 360; i++ {
		address := fmt.Sprintf("10.0.%d.%d", i%6, i)
		table.ApplyHeartbeat(start, &wire.Heartbeat{
			Instance: fmt.Sprintf("entry-%03d", i), Incarnation: incarnation(i), Datacentre: fmt.Sprintf("kol-%d", i%6),
			PeerAddress: address + ":7400", DatagramAddress: address + ":7401", OperatorAddress: address + ":7402",
		})
	}
	for i := range 640 {
		report := engine.LoadReport{Running: 40, Queued: 3, PrefillTokens: 120000, DecodeTokens: 30000}
		table.StoreLoad(start, fmt.Sprintf("scribe-pool-%03d", i), report)
	}
	return table
}

// BenchmarkTick measures one tick at the design size and the bytes of its heartbeats before MAC and headers.
func BenchmarkTick(b *testing.B) {
	table := designTable()
	local := membership.LocalState{Revision: 70000, RevisionAge: time.Minute, Stamp: timeline.Stamp{WallMs: start.UnixMilli()}}
	var out []membership.Outgoing
	for b.Loop() {
		out = table.Tick(start.Add(time.Second), local)
	}
	near, far := out[0], out[1]
	b.ReportMetric(float64(proto.Size(near.Heartbeat)), "near-B")
	b.ReportMetric(float64(len(near.To)), "near-to")
	b.ReportMetric(float64(proto.Size(far.Heartbeat)), "far-B")
	b.ReportMetric(float64(len(out)-1), "far-to")
	b.ReportMetric(float64(len(near.Heartbeat.GetLoads())), "loads")
	b.ReportMetric(float64(proto.Size(&wire.Heartbeat{Loads: near.Heartbeat.GetLoads()[:1]})), "load-B")
}

// BenchmarkHeartbeatAndView measures applying one heartbeat and rebuilding the view.
func BenchmarkHeartbeatAndView(b *testing.B) {
	table := designTable()
	heartbeat := table.Tick(start.Add(time.Second), membership.LocalState{})[0].Heartbeat
	heartbeat = proto.Clone(heartbeat).(*wire.Heartbeat)
	heartbeat.Instance, heartbeat.Incarnation = "entry-006", fmt.Sprintf("01JE%022d", 6)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		table.ApplyHeartbeat(now, heartbeat)
		table.View()
	}
}

// BenchmarkHeartbeat measures applying one heartbeat without rebuilding the view.
func BenchmarkHeartbeat(b *testing.B) {
	table := designTable()
	heartbeat := proto.Clone(table.Tick(start.Add(time.Second), membership.LocalState{})[0].Heartbeat).(*wire.Heartbeat)
	heartbeat.Instance, heartbeat.Incarnation = "entry-006", fmt.Sprintf("01JE%022d", 6)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		table.ApplyHeartbeat(now, heartbeat)
	}
}
