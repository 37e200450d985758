package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/entry"
	"knapweedhoist/platform"
	"knapweedhoist/platform/platformtest"
)

// endpointPath is the path of one instance to all endpoints.
type endpointPath struct {
	// cut is set while no bytes pass. refuses is set if new connections are refused then, instead of getting no answer.
	cut     atomic.Bool
	refuses bool

	mu    sync.Mutex
	conns []net.Conn
}

// reset cuts the path and ends the connections that are open.
func (p *endpointPath) reset() {
	p.cut.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *endpointPath) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.cut.Load() {
		if p.refuses {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
	return &pathConn{Conn: conn, path: p}, nil
}

// pathConn is a connection on an endpointPath. While the path is cut, it is silent.
type pathConn struct {
	net.Conn
	path *endpointPath
}

func (c *pathConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.path.cut.Load() {
			return n, err
		}
	}
}

func (c *pathConn) Write(b []byte) (int, error) {
	if c.path.cut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// lostEndpointsFleet is a fleet of which each instance has an endpointPath of its own.
type lostEndpointsFleet struct {
	*originsFleet
	paths    [2]endpointPath
	callers  [2]string
	backends []*platformtest.Backend
	log      lockedBuffer
}

// lockedBuffer is a buffer for the log of all instances.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func startLostEndpointsFleet() *lostEndpointsFleet {
	f := &lostEndpointsFleet{originsFleet: newOriginsFleet()}
	for n, service := range []string{
		platformtest.EngineService, platformtest.EngineService, platformtest.EngineService,
		platformtest.PlainService, platformtest.PlainService, platformtest.PlainService,
	} {
		// No field of an endpoint may make an instance believe that another one has not tried the request.
		response := platformtest.Response{Body: "booked", Fields: "Hoist-Not-Passed-On: 1\r\n"}
		if service == platformtest.EngineService {
			response = platformtest.Response{Events: 8, EventInterval: 5 * time.Millisecond, Fields: response.Fields}
		}
		backend, err := platformtest.NewBackend(response)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Close)
		f.backends = append(f.backends, backend)
		Expect(f.platform.Register(fmt.Sprintf("i-%d", n+1), service, backend.Address())).To(Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.done = cancel, make(chan error, len(f.instances))
	for n := range f.instances {
		settings := f.settings(n)
		f.callers[n] = settings.Listen.Callers
		f.instances[n] = entry.NewWithDial(slog.New(slog.NewTextHandler(&f.log, nil)), settings, platform.NewAdapter(settings.Store, settings.Cloud), f.paths[n].dial)
		go func() { f.done <- f.instances[n].Run(ctx) }()
	}
	DeferCleanup(f.kill)
	for n := range f.instances {
		Eventually(func() int { return f.request(n, platformtest.LookupPath, fmt.Sprintf("start-%d", n)).Status }, originsWait).Should(Equal(http.StatusOK))
	}
	return f
}

// request sends a request to an instance on a new connection. The status is 0 without an answer.
func (f *lostEndpointsFleet) request(n int, path, id string) platformtest.Outcome {
	caller, err := platformtest.Dial(f.callers[n], originsWait)
	if err != nil {
		return platformtest.Outcome{}
	}
	defer caller.Close()
	return caller.Do(http.MethodPost, path, id, originsWait)
}

// runs returns how often the endpoints ran the request.
func (f *lostEndpointsFleet) runs(id string) int {
	count := 0
	for _, backend := range f.backends {
		for _, received := range backend.Received() {
			if received.ID == id {
				count++
			}
		}
	}
	return count
}

var _ = Describe("An instance that has lost its paths to all endpoints", func() {
	// Guards against callers of cut instances that are served far worse than those of the others (RECOVER).
	DescribeTable("serves through another instance", func(refuses bool) {
		f := startLostEndpointsFleet()
		f.paths[0].refuses = refuses
		f.paths[0].cut.Store(true)
		paths := []string{platformtest.BookingPath, platformtest.LookupPath, platformtest.DraftPath}
		tries := 0
		Eventually(func() int { // connections that were open before the cut may hang until the requests on them end
			tries++
			return f.request(0, platformtest.LookupPath, fmt.Sprintf("try-%d", tries)).Status
		}, originsWait).Should(Equal(http.StatusOK))
		for n := range 12 {
			id, path := fmt.Sprintf("cut-%d", n), paths[n%len(paths)]
			outcome := f.request(0, path, id)
			Expect(outcome.Status).To(Equal(http.StatusOK), path)
			Expect(outcome.Complete).To(BeTrue(), path)
			Expect(outcome.ID).To(Equal(id))
			Expect(outcome.Signature).To(Equal(platformtest.Signature(id)))
			Expect(f.runs(id)).To(Equal(1))
			if path == platformtest.DraftPath {
				Expect(platformtest.EventIDs(outcome.Body)).To(HaveLen(8))
			}
		}
		f.paths[0].cut.Store(false)
		Expect(f.request(0, platformtest.BookingPath, "after").Status).To(Equal(http.StatusOK))
	},
		Entry("if new connections get no answer", false),
		Entry("if new connections are refused", true),
	)

	// Guards against endpoints that count as crashed, and prompts as the cause, because the instance's own connections were reset and
	// new ones are refused.
	It("takes no endpoint for crashed", func() {
		f := startLostEndpointsFleet()
		f.paths[0].refuses = true
		for _, backend := range f.backends[:3] {
			backend.Enqueue(platformtest.Response{Events: 8, EventInterval: time.Minute})
		}
		outcome := make(chan platformtest.Outcome, 1)
		go func() { outcome <- f.request(0, platformtest.DictationPath, "in-progress") }()
		Eventually(func() int { return f.runs("in-progress") }, originsWait).Should(Equal(1))
		f.paths[0].reset()
		Eventually(outcome, originsWait).Should(Receive())
		Eventually(f.log.String, originsWait).Should(ContainSubstring("no other endpoint is reached either"))
		Expect(f.log.String()).NotTo(ContainSubstring("endpoint crashed"))
	})

	// Guards against requests that instances pass on to each other in turn, and against an answer that says less than that the
	// request has not run.
	It("refuses if the others have lost theirs as well", func() {
		f := startLostEndpointsFleet()
		for n := range f.paths {
			f.paths[n].refuses = true
			f.paths[n].cut.Store(true)
		}
		tries := 0
		Eventually(func() int { // connections that were open before the cut hang
			tries++
			return f.request(0, platformtest.LookupPath, fmt.Sprintf("try-%d", tries)).Status
		}, originsWait).Should(Equal(http.StatusServiceUnavailable))
		for n := range 6 {
			outcome := f.request(n%2, platformtest.BookingPath, fmt.Sprintf("lost-%d", n))
			Expect(outcome.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(outcome.ID).To(Equal(fmt.Sprintf("lost-%d", n)))
		}
	})
})
