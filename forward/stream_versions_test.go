package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"knapweedhoist/clock"
	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/enginemodel"
	"knapweedhoist/forward"
	"knapweedhoist/platform"
	"knapweedhoist/platform/platformtest"
	"knapweedhoist/quarantine"
	"knapweedhoist/retrybudget"
	"knapweedhoist/streamorigin"
	"knapweedhoist/testutil"
	"knapweedhoist/upstream"
)

// ioTimeout bounds each wait of a test; no assertion depends on the time that a wait takes.
const ioTimeout = 20 * time.Second

// origins is a forward.Origins of one process. wait makes Find wait for the end of its context.
type origins struct {
	mu    sync.Mutex
	known map[string]streamorigin.Origin
	wait  bool
}

func (o *origins) Record(id string, origin streamorigin.Origin, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[id] = origin
}

func (o *origins) Find(ctx context.Context, id, _ string) (streamorigin.Origin, error) {
	if o.wait {
		<-ctx.Done()
		return streamorigin.Origin{}, ctx.Err()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	origin, ok := o.known[id]
	if !ok {
		return streamorigin.Origin{}, streamorigin.ErrUnknown
	}
	return origin, nil
}

// versionsFixture is a Server in front of backends, one for each software version.
type versionsFixture struct {
	origins  *origins
	state    *deployment.State
	backends map[string]*platformtest.Backend
	registry metrics.Registry
	address  string
}

// eventCount is the number of events of a stream.
const eventCount = 5

func newVersionsFixture(versions ...string) *versionsFixture {
	if !testutil.RunsKnownRed() {
		Skip("listed in KNOWN-RED.txt")
	}
	f := &versionsFixture{
		origins: &origins{known: make(map[string]streamorigin.Origin)}, state: deployment.NewState(),
		backends: make(map[string]*platformtest.Backend), registry: metrics.NewRegistry(),
	}
	for _, version := range versions {
		backend, err := platformtest.NewBackend(platformtest.Response{Events: eventCount})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Close)
		f.backends[version] = backend
	}
	f.list(versions...)
	f.configure("service")
	server := forward.NewServer(forward.Config{}, forward.Deps{
		Log: slog.New(slog.DiscardHandler), Codec: platform.Headers{}, State: f.state, Origins: f.origins,
		Balancer: dispatch.NewBalancer(dispatch.Config{}, enginemodel.NewLearner()), Pool: upstream.NewPool(upstream.Config{}),
		Budget:     retrybudget.NewBudget(clock.Now(), retrybudget.Config{Slack: 100, Window: time.Minute}),
		Quarantine: quarantine.NewGuard(quarantine.Config{}), Metrics: forward.NewMetrics(f.registry), Now: clock.Now,
		Instances: func() int { return 1 }, Random: func() float64 { return 0 },
	})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() { _ = server.Serve(ln) }()
	f.address = ln.Addr().String()
	return f
}

// configure publishes a configuration with a route for streams to the service.
func (f *versionsFixture) configure(service string) {
	f.state.SetConfig(deployment.NewConfig(1,
		[]*deployment.Route{{
			Name: "stream", Host: "a", Prefix: "/", Kind: deployment.Stream, Resumable: true, MaxAttempts: 2,
			Targets: []deployment.Target{{Service: service, Weight: 1}},
		}},
		[]*deployment.Service{{Name: "service", MaxConnections: 10}, {Name: "other", MaxConnections: 10}},
		deployment.OpenToAll, nil, deployment.Limits{}))
}

// list publishes the endpoints of the versions. Those of "leaving" versions get no new requests.
func (f *versionsFixture) list(versions ...string) {
	endpoints := make(map[string]*deployment.Endpoint)
	for _, version := range versions {
		name, leaving := strings.CutSuffix(version, " leaving")
		id := "i-" + name
		endpoints[id] = &deployment.Endpoint{
			ID: id, Service: "service", Address: f.backends[name].Address(), Slots: 8, SoftwareVersion: name, Leaving: leaving,
		}
	}
	f.state.SetEndpoints(endpoints)
}

// receivedBy returns the versions whose endpoint got the request.
func (f *versionsFixture) receivedBy(id string) []string {
	var versions []string
	for version, backend := range f.backends {
		for _, request := range backend.Received() {
			if request.ID == id {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

func (f *versionsFixture) dial() net.Conn {
	conn, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetDeadline(time.Now().Add(ioTimeout))).To(Succeed())
	return conn
}

// send writes a request with the lines of extra in its header.
func send(conn net.Conn, id string, extra ...string) {
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nDeadline-Remaining: 9000\r\nContent-Length: 0\r\n%s\r\n",
		id, strings.Join(extra, ""))
	Expect(err).NotTo(HaveOccurred())
}

// ask sends a request on a new connection and returns the answer and its body.
func (f *versionsFixture) ask(id string, extra ...string) (*http.Response, string) {
	conn := f.dial()
	defer func() { _ = conn.Close() }()
	send(conn, id, extra...)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

// takeUp are the lines of a request that goes on with the stream of the request after its second event.
func takeUp(id string) []string { return []string{"Last-Event-Id: 2\r\n", "Resumes: " + id + "\r\n"} }

var _ = Describe("A caller that takes a stream up", func() {
	// Guards against a stream with events of two software versions: the take-up goes to the endpoint of the least cost,
	// whatever its version.
	It("gets the rest from an endpoint of the version that began it", func() {
		f := newVersionsFixture("1", "2")
		for _, version := range []string{"1", "2"} {
			began, taken := "begun-at-"+version, "taken-up-at-"+version
			f.list(version)
			f.ask(began)
			f.list("1", "2")
			response, body := f.ask(taken, takeUp(began)...)
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(HavePrefix("id: 3\n"))
			Expect(f.receivedBy(taken)).To(Equal([]string{version}))
		}
	})
})
