//go:build !race

package forward

import (
	"io"
	"log/slog"
	"net"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/internal/pipelistener"
)

// The race detector adds memory of its own, so that this runs without it.
//
// Guards against a process that exceeds its memory by connections that callers keep open, since one takes more than the number of
// connections allows for.
var _ = Describe("A connection of a caller between two requests", func() {
	It("takes at most its share of the memory", func() {
		const (
			connections = 200
			// idleBytes is the part of ConnectionBytes that is not for a request in progress.
			idleBytes = 56 << 10
		)
		server := NewServer(Config{StartWait: 1}, Deps{
			Log: slog.New(slog.DiscardHandler), Codec: plainCodec{}, State: deployment.NewState(), Started: make(chan struct{}),
			Metrics: NewMetrics(metrics.NewRegistry()), Now: clock.Now,
		})
		listener := pipelistener.New()
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(listener.Close)
		memory := func() int64 {
			var stats runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&stats)
			return int64(stats.HeapAlloc + stats.StackInuse)
		}
		before := memory()
		var clients []net.Conn
		for range connections {
			client := listener.Dial()
			DeferCleanup(client.Close)
			_, err := io.WriteString(client, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Read(make([]byte, 4096))
			Expect(err).NotTo(HaveOccurred())
			clients = append(clients, client)
		}
		Expect((memory() - before) / connections).To(BeNumerically("<", idleBytes))
		runtime.KeepAlive(clients)
	})
})
