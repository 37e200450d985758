package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
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
	"knapweedhoist/upstream"
)

// ioTimeout bounds each wait of a test; no assertion depends on the time that a wait takes.
const ioTimeout = 20 * time.Second

// origins is a forward.Origins of one process.
type origins struct {
	mu    sync.Mutex
	known map[string]streamorigin.Origin
}

func (o *origins) Record(id string, origin streamorigin.Origin, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[id] = origin
}

func (o *origins) Find(_ context.Context, id, _ string) (streamorigin.Origin, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	origin, ok := o.known[id]
	if !ok {
		return streamorigin.Origin{}, streamorigin.ErrUnknown
	}
	return origin, nil
}

// recorded returns the origins by request id.
func (o *origins) recorded() map[string]streamorigin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.known)
}

// versionsFixture is a Server in front of backends, one for each software version and "other" for the service of that name.
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
	f := &versionsFixture{
		origins: &origins{known: make(map[string]streamorigin.Origin)}, state: deployment.NewState(),
		backends: make(map[string]*platformtest.Backend), registry: metrics.NewRegistry(),
	}
	for _, version := range append(versions, "other") {
		backend, err := platformtest.NewBackend(platformtest.Response{Events: eventCount})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Close)
		f.backends[version] = backend
	}
	f.list(versions...)
	f.route("service")
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

// route publishes a configuration with a route for streams to the services, with equal weights.
func (f *versionsFixture) route(services ...string) {
	var targets []deployment.Target
	for _, service := range services {
		targets = append(targets, deployment.Target{Service: service, Weight: 1})
	}
	f.state.SetConfig(deployment.NewConfig(1,
		[]*deployment.Route{{
			Name: "stream", Host: "a", Prefix: "/", Kind: deployment.Stream, Resumable: true, MaxAttempts: 2,
			Targets: targets,
		}},
		[]*deployment.Service{{Name: "service", MaxConnections: 10}, {Name: "other", MaxConnections: 10}},
		deployment.OpenToAll, nil, deployment.Limits{}))
}

// list publishes the endpoints of the versions and that of the other service. Those of "leaving" versions get no new requests.
func (f *versionsFixture) list(versions ...string) {
	endpoints := map[string]*deployment.Endpoint{
		"i-other": {ID: "i-other", Service: "other", Address: f.backends["other"].Address(), Slots: 8, SoftwareVersion: "1"},
	}
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

// count returns the value of a counter of the Server.
func (f *versionsFixture) count(counter string) int64 {
	return f.registry.Get(counter).(metrics.Counter).Count()
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

var _ = Describe("A stream without a first event", func() {
	// Guards against requests that fail although only endpoints of another version than that of a failed attempt are left, and
	// against the origin of an attempt that brought no event.
	It("is sent again to an endpoint of any version, which is its origin", func() {
		f := newVersionsFixture("1", "2")
		for version, other := range map[string]string{"1": "2", "2": "1"} {
			id := "begun-after-" + version
			f.list(version)
			f.backends[version].RespondWith(func() platformtest.Response {
				f.list("1", "2")
				return platformtest.Response{Raw: "HTTP/1.1 200 OK\r\n"}
			})
			f.ask(id)
			f.backends[version].RespondWith(func() platformtest.Response { return platformtest.Response{Events: eventCount} })
			Expect(f.receivedBy(id)).To(ConsistOf("1", "2"))
			Expect(f.origins.recorded()).To(HaveKeyWithValue(id, streamorigin.Origin{Service: "service", Version: other}))
		}
	})
})

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
			Expect(f.origins.recorded()).NotTo(HaveKey(taken), "the caller names the request that began the stream")
		}
	})

	// Guards against a stream that goes on at another version because none of its own is left, and against callers that come
	// back in vain.
	DescribeTable("is refused without a send",
		func(arrange func(*versionsFixture), counter string, minRetryAfter float64) {
			f := newVersionsFixture("1", "2")
			f.origins.Record("begun", streamorigin.Origin{Service: "service", Version: "1"}, time.Time{})
			arrange(f)
			response, _ := f.ask("taken", takeUp("begun")...)
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(retryAfter).To(BeNumerically(">=", minRetryAfter))
			Expect(retryAfter).To(BeNumerically("<", minRetryAfter+1))
			Expect(f.receivedBy("taken")).To(BeEmpty())
			Expect(f.count(counter)).To(Equal(int64(1)))
			Expect(f.count("forward_refused")).To(Equal(int64(1)))
			response, _ = f.ask("new")
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		},
		Entry("if no endpoint of the version is listed", func(f *versionsFixture) { f.list("2") }, "forward_stream_version_gone", 8.0),
		Entry("if those of the version leave", func(f *versionsFixture) { f.list("1 leaving", "2") }, "forward_stream_version_gone", 8.0),
		Entry("if those of the version have stated in an answer that they leave", func(f *versionsFixture) {
			f.list("1")
			f.backends["1"].RespondWith(func() platformtest.Response {
				return platformtest.Response{Events: eventCount, Fields: "Server-Leaving: 1\r\n"}
			})
			f.ask("told")
			f.list("1", "2")
		}, "forward_stream_version_gone", 8.0),
		Entry("if the version is unknown", func(f *versionsFixture) { delete(f.origins.known, "begun") },
			"forward_stream_origin_unknown", 0.1),
		Entry("if the route leads to another service", func(f *versionsFixture) { f.route("other") }, "forward_stream_version_gone", 8.0),
	)

	// Guards against callers that stay away for long while all endpoints of the service are away for a moment.
	It("is told to come back soon if the service has no endpoint at all", func() {
		f := newVersionsFixture("1")
		f.ask("begun")
		f.list("1 leaving")
		response, _ := f.ask("taken", takeUp("begun")...)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("0."))
		Expect(f.count("forward_stream_version_gone")).To(BeZero())
	})

	// Guards against a take-up that is moved to the service to which its route sends new requests.
	It("goes on at the service that began the stream if the route leads to several", func() {
		f := newVersionsFixture("1")
		f.ask("begun")
		f.route("other", "service")
		f.ask("new")
		Expect(f.receivedBy("new")).To(Equal([]string{"other"}))
		response, _ := f.ask("taken", takeUp("begun")...)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(f.receivedBy("taken")).To(Equal([]string{"1"}))
		Expect(f.backends["1"].Received()).To(ContainElement(HaveField("Header", HaveKeyWithValue("Resumes", []string{"begun"}))))
	})
})
