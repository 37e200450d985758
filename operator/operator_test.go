package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
	"knapweedhoist/membership"
	"knapweedhoist/operator"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const key = "operator-key"

var (
	discardLog = slog.New(slog.DiscardHandler)
	start      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// fakeDaemon implements operator.Fleet, operator.Configuration and operator.Timeline.
type fakeDaemon struct {
	statusCalls atomic.Int64
	drainedBy   string
	notReady    error
	change      operator.Change
	changeErr   error
}

// Status reports an older revision for entry-2 until its third call.
func (d *fakeDaemon) Status() operator.Status {
	revision := uint64(6)
	if d.statusCalls.Add(1) >= 3 {
		revision = 7
	}
	return operator.Status{Revision: 7, Instances: []operator.InstanceStatus{
		{ID: "entry-1", State: "live", Revision: 7}, {ID: "entry-2", State: "live", Revision: revision},
		{ID: "entry-3", State: "dead", Revision: 1},
	}}
}

func (d *fakeDaemon) Endpoints() []operator.EndpointStatus { return nil }

func (d *fakeDaemon) Request(_ context.Context, id string) (operator.RequestStatus, error) {
	return operator.RequestStatus{}, fmt.Errorf("request %q: %w", id, operator.ErrNotFound)
}

func (d *fakeDaemon) Drain(name string) error {
	d.drainedBy = name
	return nil
}

func (d *fakeDaemon) Ready() error { return d.notReady }

func (d *fakeDaemon) Document() catalog.Document {
	return catalog.Document{Revision: 7, InForce: "ordinary", Presets: []catalog.Preset{{Name: "ordinary"}}}
}

func (d *fakeDaemon) Change(_ context.Context, change operator.Change) (operator.ChangeResult, error) {
	d.change = change
	return operator.ChangeResult{Revision: 8}, d.changeErr
}

func (d *fakeDaemon) Collect(_ context.Context, filter timeline.Filter) operator.MergedTimeline {
	return operator.MergedTimeline{
		Events:  []timeline.Event{{Kind: timeline.KindAccept, Request: filter.Request, Team: filter.Team}},
		Missing: []string{"entry-3"},
	}
}

// startServer starts a server on an in-memory listener and returns a function that sends it one request.
func startServer(d *fakeDaemon, registry metrics.Registry) func(method, path, bearer, body string) (int, string) {
	cfg := operator.Config{
		Credentials: []operator.Credential{
			{Operator: "amal", KeyHash: operator.HashKey("other")}, {Operator: "bibi", KeyHash: operator.HashKey(key)},
		},
		Metrics: registry,
	}
	server, err := operator.NewServer(discardLog, cfg, d, d, d)
	Expect(err).NotTo(HaveOccurred())
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() { Expect(server.Close(context.Background())).To(Succeed()) })
	client := &fasthttp.HostClient{Addr: "operator", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	return func(method, path, bearer, body string) (int, string) {
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.Header.SetMethod(method)
		request.SetRequestURI("http://operator" + path)
		if bearer != "" {
			request.Header.Set("Authorization", "Bearer "+bearer)
		}
		request.SetBodyString(body)
		Expect(client.Do(request, response)).To(Succeed())
		return response.StatusCode(), string(response.Body())
	}
}

var _ = Describe("operator", func() {
	var (
		d        *fakeDaemon
		registry metrics.Registry
		send     func(method, path, bearer, body string) (int, string)
	)
	BeforeEach(func() {
		d, registry = &fakeDaemon{}, metrics.NewRegistry()
		send = startServer(d, registry)
	})

	It("guards against access without a valid credential, except to health checks", func() {
		for _, path := range []string{
			"/operator/v1/status", "/operator/v1/config", "/operator/v1/drain", "/metrics", "/debug/pprof/", "/x",
		} {
			for _, bearer := range []string{"", "wrong"} {
				status, body := send("GET", path, bearer, "")
				Expect(status).To(Equal(fasthttp.StatusUnauthorized), path)
				Expect(body).To(ContainSubstring("operator/authenticate"))
			}
		}
		status, _ := send("GET", "/healthz", "", "")
		Expect(status).To(Equal(fasthttp.StatusOK))
		d.notReady = errors.New("draining")
		status, body := send("GET", "/readyz", "", "")
		Expect(status).To(Equal(fasthttp.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("draining"))
	})

	It("guards against a change without its operator, base revision or operation id", func() {
		status, body := send("PUT", "/operator/v1/config/preset/peak", key,
			`{"base_revision":7,"operation_id":"op1","item":{"name":"peak"}}`)
		Expect(status).To(Equal(fasthttp.StatusOK), body)
		Expect(body).To(MatchJSON(`{"revision":8}`))
		Expect(d.change.Operator).To(Equal("bibi"))
		Expect(d.change.BaseRevision).To(Equal(uint64(7)))
		Expect(d.change.OperationID).To(Equal("op1"))
		status, _ = send("DELETE", "/operator/v1/config/team/ferry", key, `{"base_revision":7,"operation_id":"op2"}`)
		Expect(status).To(Equal(fasthttp.StatusOK))
		Expect(d.change.Item).To(BeNil())
		status, _ = send("PUT", "/operator/v1/in-force", key, `{"base_revision":7,"operation_id":"op3","preset":"peak"}`)
		Expect(status).To(Equal(fasthttp.StatusOK))
		Expect(d.change.Name).To(Equal("peak"))
	})

	It("guards against a conflict response that omits the stored or the refused change", func() {
		d.changeErr = fmt.Errorf("change: %w", &operator.ConflictError{Current: 9, Theirs: catalog.Change{
			Revision: 8, Operator: "amal", Kind: catalog.ItemPreset, Name: "peak", After: json.RawMessage(`{"a":1}`),
		}})
		status, body := send("PUT", "/operator/v1/config/preset/peak", key,
			`{"base_revision":7,"operation_id":"op1","item":{"name":"peak"}}`)
		Expect(status).To(Equal(fasthttp.StatusConflict))
		var problem operator.Problem
		Expect(json.Unmarshal([]byte(body), &problem)).To(Succeed())
		Expect(problem.Conflict.Theirs.Operator).To(Equal("amal"))
		Expect(problem.Conflict.Current).To(Equal(uint64(9)))
		Expect(problem.Conflict.Yours).To(MatchJSON(`{"name":"peak"}`))
		Expect(problem.Next).NotTo(BeEmpty())
	})

	It("guards against invalid input that reaches the daemon or gets the wrong status code", func() {
		for _, c := range []struct {
			method, path, body string
			status             int
		}{
			{"PUT", "/operator/v1/config/preset/peak", `{`, 400},
			{"PUT", "/operator/v1/config/preset/peak", `{"operation_id":"x","item":{},"other":1}`, 400},
			{"PUT", "/operator/v1/config/preset/peak", `{"item":{}}`, 400},
			{"PUT", "/operator/v1/config/preset/peak", `{"operation_id":"x"}`, 400},
			{"PUT", "/operator/v1/in-force", `{"operation_id":"x"}`, 400},
			{"PUT", "/operator/v1/config/lease/x", `{}`, 404},
			{"POST", "/operator/v1/config/preset/x", `{}`, 405},
			{"GET", "/operator/v1/drain", "", 405},
			{"GET", "/operator/v1/config/preset/none", "", 404},
			{"GET", "/operator/v1/requests/none", "", 404},
			{"GET", "/operator/v1/timeline?since_ms=x", "", 400},
			{"GET", "/operator/v1/revision?wait=x", "", 400},
			{"GET", "/nothing", "", 404},
		} {
			status, body := send(c.method, c.path, key, c.body)
			Expect(status).To(Equal(c.status), c.path+" "+body)
		}
		Expect(d.change).To(Equal(operator.Change{}))
		d.changeErr = operator.ErrUnavailable
		status, body := send("PUT", "/operator/v1/in-force", key, `{"operation_id":"x","preset":"p"}`)
		Expect(status).To(Equal(fasthttp.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("same operation id"))
	})

	It("guards against a wait that ends before all live instances have the requested revision", func() {
		status, body := send("GET", "/operator/v1/revision?wait=7", key, "")
		Expect(status).To(Equal(fasthttp.StatusOK))
		var result operator.RevisionStatus
		Expect(json.Unmarshal([]byte(body), &result)).To(Succeed())
		Expect(result.Everywhere).To(BeTrue())
		Expect(result.Unreachable).To(HaveLen(1))
		Expect(d.statusCalls.Load()).To(Equal(int64(3)))
	})

	It("guards against metrics that are not in the exposition format or have the wrong unit", func() {
		metrics.GetOrRegisterCounter(`heartbeat_sent_bytes_total`, registry).Inc(1200)
		metrics.GetOrRegisterCounter(`requests_total{team="a"}`, registry).Inc(1)
		metrics.GetOrRegisterCounter(`requests_total{team="b"}`, registry).Inc(2)
		metrics.GetOrRegisterTimer("first_token", registry).Update(250 * time.Millisecond)
		_, body := send("GET", "/metrics", key, "")
		Expect(body).To(ContainSubstring("# TYPE knapweedhoist_heartbeat_sent_bytes_total counter\n" +
			"knapweedhoist_heartbeat_sent_bytes_total 1200\n"))
		Expect(strings.Count(body, "# TYPE knapweedhoist_requests_total counter")).To(Equal(1))
		Expect(body).To(ContainSubstring(`knapweedhoist_requests_total{team="b"} 2`))
		Expect(body).To(ContainSubstring(`knapweedhoist_first_token_seconds{quantile="0.5"} 0.25`))
		Expect(body).To(ContainSubstring("knapweedhoist_first_token_seconds_count 1"))
	})

	It("guards against a drain that does not pass on its operator and a timeline that does not pass on its filter", func() {
		status, _ := send("POST", "/operator/v1/drain", key, "")
		Expect(status).To(Equal(fasthttp.StatusAccepted))
		Expect(d.drainedBy).To(Equal("bibi"))
		_, body := send("GET", "/operator/v1/timeline?request=01JE-7&team=ferry", key, "")
		Expect(body).To(And(ContainSubstring("01JE-7"), ContainSubstring("ferry"), ContainSubstring("entry-3")))
	})
})

// fakeCaller answers timeline queries for entry-2 from ring and returns an error for other peers.
type fakeCaller struct{ ring *timeline.Ring }

func (c fakeCaller) Call(_ context.Context, address string, call *wire.Call) (*wire.Answer, error) {
	if address != "entry-2:8" {
		return nil, errors.New("peer does not answer")
	}
	return operator.AnswerQuery(c.ring, call.GetTimeline())
}

// ignoreViolations is an invariant.Checker that discards violations.
type ignoreViolations struct{}

func (ignoreViolations) Violated(invariant.Violation) {}

var _ = Describe("collector", func() {
	It("guards against a timeline that omits an unreachable instance from Missing, ignores the filter or is not merged in order", func() {
		table := membership.NewTable(membership.Config{ID: "entry-1", Incarnation: "01J1"}, ignoreViolations{}, timeline.Discard, start)
		for i := 2; i <= 3; i++ {
			id := fmt.Sprintf("entry-%d", i)
			table.ApplyHeartbeat(start, &wire.Heartbeat{Instance: id, Incarnation: fmt.Sprintf("01J%d", i), PeerAddress: id + ":8"})
		}
		clock := timeline.NewClock(func() time.Time { return start })
		rings := []*timeline.Ring{timeline.NewRing(clock, "entry-1", "", 0), timeline.NewRing(clock, "entry-2", "", 0)}
		rings[1].Record(timeline.Event{Kind: timeline.KindAccept, Team: "ferry"})
		rings[0].Record(timeline.Event{Kind: timeline.KindFinish, Team: "ferry"})
		rings[1].Record(timeline.Event{Kind: timeline.KindFinish, Team: "mill"})
		collector := operator.NewCollector(discardLog, rings[0], fakeCaller{rings[1]}, table.View)
		merged := collector.Collect(context.Background(), timeline.Filter{Team: "ferry"})
		Expect(merged.Missing).To(Equal([]string{"entry-3"}))
		var tableText bytes.Buffer
		Expect(timeline.WriteTable(&tableText, merged.Events)).To(Succeed())
		Expect(merged.Events).To(HaveLen(2), tableText.String())
		Expect(merged.Events[0].Kind).To(Equal(timeline.KindAccept))
	})

	It("guards against wrong counts of instances and endpoints in the status of a data centre", func() {
		table := membership.NewTable(membership.Config{ID: "entry-1", Incarnation: "01J1", Datacentre: "kol-a"},
			ignoreViolations{}, timeline.Discard, start)
		table.ApplyHeartbeat(start, &wire.Heartbeat{Instance: "entry-2", Incarnation: "01J2", Datacentre: "kol-b", Leaving: true})
		table.ApplyHeartbeat(start, &wire.Heartbeat{Instance: "entry-3", Incarnation: "01J3", Datacentre: "kol-b", Revision: 4})
		table.ApplyList(start, []membership.Entry{{ID: "p1", Kind: membership.KindEndpoint, Incarnation: "01J9", Datacentre: "kol-b"}})
		var status operator.Status
		operator.FillStatus(&status, table.View())
		Expect(status.Datacentres).To(HaveLen(2))
		Expect(status.Datacentres[1].Live).To(Equal(1))
		Expect(status.Datacentres[1].Endpoints).To(Equal(1))
		Expect(operator.EndpointStatuses(table.View(), start)[0].LoadAgeMs).To(Equal(int64(-1)))
	})
})
