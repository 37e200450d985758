package heartbeat

import "testing"

// BenchmarkSealAndOpen measures encoding and decoding one datagram with 5 loads, without the socket.
func BenchmarkSealAndOpen(b *testing.B) {
	enc, dec := newCodec()
	size := 0
	for b.Loop() {
		datagrams, err := enc.encode(newHeartbeat(5))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := dec.decode(datagrams[0], start); err != nil {
			b.Fatal(err)
		}
		size = len(datagrams[0])
	}
	b.ReportMetric(float64(size), "datagram-B")
}
