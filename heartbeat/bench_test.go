package heartbeat

import "testing"

// BenchmarkSealAndOpen measures one datagram with 5 loads, without the socket.
func BenchmarkSealAndOpen(b *testing.B) {
	s, o := pair()
	size := 0
	for b.Loop() {
		datagrams, err := s.seal(beatOf(5))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := o.open(datagrams[0], start); err != nil {
			b.Fatal(err)
		}
		size = len(datagrams[0])
	}
	b.ReportMetric(float64(size), "datagram-B")
}
