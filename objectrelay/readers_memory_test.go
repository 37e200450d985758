package objectrelay

import (
	"fmt"
	"net"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/pipelistener"
	"knapweedhoist/objectapi"
)

// Guards against a relay that exceeds its memory at one change of a large configuration because it holds an answer for each
// instance of its data centre that reads it.
var _ = Describe("The answers of a relay to many readers of a large object", func() {
	const (
		readers    = 60
		valueBytes = 1 << 20
		// maxHeap is a tenth of the memory of the smallest machine, in bytes.
		maxHeap = 18 << 20
	)
	var listener *pipelistener.Listener
	var objectCopy *Copy
	BeforeEach(func() {
		objectCopy = NewCopy(CopyConfig{Kind: objectapi.KindDeployment, MaxAge: time.Hour, Now: time.Now}, discardSink{})
		listener = pipelistener.New()
		server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
			Serve(rc, map[objectapi.Kind]*Copy{objectapi.KindDeployment: objectCopy})
		}}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(listener.Close)
	})
	// request sends one read on a connection and does not read the answer.
	request := func(path string) net.Conn {
		client := listener.Dial()
		DeferCleanup(client.Close)
		_, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: relay\r\n\r\n", path)
		Expect(err).NotTo(HaveOccurred())
		return client
	}
	// awaitAnswer reads the first byte of an answer, when the rest of it is ready.
	awaitAnswer := func(client net.Conn) {
		_, err := client.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	}
	large := func(version objectapi.Version) objectapi.Object {
		return objectapi.Object{Name: "main", Version: version, Value: make([]byte, valueBytes)}
	}
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}

	DescribeTable("take no memory for each reader",
		func(path string, change bool) {
			objectCopy.Replace([]objectapi.Object{large(4)}, objectapi.Position{Version: 5})
			objectCopy.Confirm(0)
			before := heap()
			var clients []net.Conn
			for range readers {
				clients = append(clients, request(path))
			}
			if change {
				objectCopy.Apply([]objectapi.WatchEvent{{Object: large(6)}}, objectapi.Position{Version: 6})
			}
			for _, client := range clients {
				awaitAnswer(client)
			}
			Expect(heap() - before).To(BeNumerically("<", maxHeap))
			runtime.KeepAlive(objectCopy)
		},
		Entry("of a list", "/objects/deployment", false),
		Entry("of a watch", "/objects/deployment?version=5&wait_ms=60000", true),
	)
})
