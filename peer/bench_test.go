package peer

import (
	"context"
	"net"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

// BenchmarkCall measures one call over the loopback interface and the bytes that both sides send.
func BenchmarkCall(b *testing.B) {
	registry := metrics.NewRegistry()
	cfg := Config{Key: fleetKey, Incarnation: "01JE000000000000000000000A", Metrics: registry}
	server, err := NewServer(discardLogger, cfg, newStubHandler())
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client, err := NewClient(discardLogger, cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	for b.Loop() {
		if _, err := client.Call(context.Background(), listener.Addr().String(), pingCall); err != nil {
			b.Fatal(err)
		}
	}
	sent := metrics.GetOrRegisterCounter("peer_sent_bytes_total", registry)
	b.ReportMetric(float64(sent.Count())/float64(b.N), "wire-B/op")
}
