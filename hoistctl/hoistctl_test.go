package hoistctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/catalog"
	"knapweedhoist/operator"
	"knapweedhoist/timeline"
)

func TestHoistctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hoistctl")
}

// fakeDaemon serves fixed data through a real operator API, records the last
// change, and returns err for it.
type fakeDaemon struct {
	address string
	change  operator.Change
	err     error
	behind  bool
	drained bool
}

func (d *fakeDaemon) Status() operator.Status {
	instance := operator.InstanceStatus{ID: "entry-2", Datacentre: "kol-b", State: "live", Revision: 8, OperatorAddress: d.address}
	if d.behind {
		instance.Revision = 1
	}
	return operator.Status{
		Instance: "entry-1", Datacentre: "kol-a", Preset: "ordinary", Revision: 8,
		Datacentres: []operator.DatacentreStatus{{Name: "kol-b", Live: 1}},
		Instances:   []operator.InstanceStatus{instance},
	}
}

func (d *fakeDaemon) Endpoints() []operator.EndpointStatus {
	return []operator.EndpointStatus{{ID: "p1", Service: "s1", LoadAgeMs: -1}, {ID: "p2", Service: "s2", LoadAgeMs: 40}}
}

func (d *fakeDaemon) Request(_ context.Context, id string) (operator.RequestStatus, error) {
	if id != "01JE-7" {
		return operator.RequestStatus{}, operator.ErrNotFound
	}
	return operator.RequestStatus{ID: id, Team: "ferry", Outcome: "ran"}, nil
}

func (d *fakeDaemon) Drain(string) error {
	d.drained = true
	return nil
}

func (d *fakeDaemon) Ready() error { return nil }

func (d *fakeDaemon) Document() catalog.Document {
	return catalog.Document{
		Revision: 7, InForce: "ordinary",
		Presets: []catalog.Preset{{Name: "ordinary"}, {Name: "peak", FirstTokenTargetMs: 900}},
		Changes: []catalog.Change{{
			Revision: 7, Operator: "amal", Kind: catalog.ItemPreset, Name: "peak",
			Before: json.RawMessage(`{"name":"peak"}`), After: json.RawMessage(`{"name":"peak","first_token_target_ms":900}`),
		}},
	}
}

func (d *fakeDaemon) Change(_ context.Context, change operator.Change) (operator.ChangeResult, error) {
	d.change = change
	return operator.ChangeResult{Revision: 8}, d.err
}

func (d *fakeDaemon) Collect(context.Context, timeline.Filter) operator.MergedTimeline {
	return operator.MergedTimeline{
		Events: []timeline.Event{{Kind: timeline.KindAccept, Instance: "entry-1", Request: "01JE-7"}}, Missing: []string{"entry-3"},
	}
}

var _ = Describe("hoistctl", func() {
	var d *fakeDaemon
	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		d = &fakeDaemon{address: listener.Addr().String()}
		cfg := operator.Config{
			Credentials: []operator.Credential{{Operator: "bibi", KeyHash: operator.HashKey("k")}}, Metrics: metrics.NewRegistry(),
		}
		server, err := operator.NewServer(slog.New(slog.DiscardHandler), cfg, d, d, d)
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(func() { _ = server.Close(context.Background()) })
		GinkgoT().Setenv("HOISTCTL_KEY", "k")
	})
	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		a := &app{out: &out, errOut: &errOut}
		status := a.run(append([]string{"--address", d.address}, args...))
		return status, out.String(), errOut.String()
	}

	It("guards against a command that is not registered, whose table lacks its data, or whose JSON output is invalid", func() {
		for command, want := range map[string]string{
			"preset list": "peak", "preset show peak": "first_token_target_ms", "preset diff ordinary peak": "(unset) -> 900",
			"preset history": "amal", "service list": "SERVICE", "team list": "TEAM", "status": "entry-2", "endpoints": "no report",
			"endpoints --service s2": "40 ms", "requests show 01JE-7": "ferry", "timeline": "accept", "drain entry-2": "draining",
			"completion": "complete -F", "completion zsh": "bashcompinit", "--help": "preset",
		} {
			status, out, errOut := run(strings.Fields(command)...)
			Expect(status).To(Equal(ExitOK), command+errOut)
			Expect(out).To(ContainSubstring(want), command)
			if !strings.HasPrefix(command, "completion") && command != "--help" {
				status, out, _ = run(append(strings.Fields(command), "--output", "json")...)
				Expect(status).To(Equal(ExitOK))
				Expect(json.Valid([]byte(out))).To(BeTrue(), command+out)
			}
		}
		Expect(d.drained).To(BeTrue())
		_, _, errOut := run("timeline")
		Expect(errOut).To(ContainSubstring("entry-3"))
	})

	It("guards against an edit that drops fields of the item, its base revision or its operation id", func() {
		status, out, errOut := run("preset", "edit", "peak", "inter_token_target_ms=20", "--operation-id", "op1", "--wait")
		Expect(status).To(Equal(ExitOK), errOut)
		Expect(d.change.Item).To(MatchJSON(`{"name":"peak","first_token_target_ms":900,"inter_token_target_ms":20}`))
		Expect(d.change.BaseRevision).To(Equal(uint64(7)))
		Expect(d.change.OperationID).To(Equal("op1"))
		Expect(out).To(ContainSubstring("revision 8 stored"))
		Expect(out).To(ContainSubstring("in force at all live instances"))
		status, _, errOut = run("preset", "edit", "new", "first_token_target_ms=700", "--base", "3")
		Expect(status).To(Equal(ExitOK), errOut)
		Expect(d.change.Item).To(MatchJSON(`{"name":"new","first_token_target_ms":700}`))
		Expect(d.change.BaseRevision).To(Equal(uint64(3)))
		status, _, _ = run("preset", "set", "peak")
		Expect(status).To(Equal(ExitOK))
		Expect(d.change.Kind).To(Equal(catalog.ItemInForce))
		Expect(d.change.Name).To(Equal("peak"))
	})

	It("guards against a conflict message that omits one of the two changes", func() {
		d.err = &operator.ConflictError{Current: 8, Theirs: catalog.Change{
			Revision: 8, Operator: "amal", Kind: catalog.ItemPreset, Name: "peak",
			Before: json.RawMessage(`{"headroom_percent":20}`), After: json.RawMessage(`{"headroom_percent":30}`),
		}}
		status, _, errOut := run("preset", "edit", "peak", "headroom_percent=40")
		Expect(status).To(Equal(ExitConflict))
		Expect(errOut).To(And(
			ContainSubstring("amal"), ContainSubstring("headroom_percent: 20 -> 30"),
			ContainSubstring("headroom_percent: 30 -> 40"), ContainSubstring("next: ")))
	})

	It("guards against errors without a next action, an exit status other than the documented one, and a refused credential without step and peer", func() {
		for _, c := range []struct {
			args string
			err  error
			exit int
		}{
			{"requests show none", nil, ExitNotFound},
			{"preset show none", nil, ExitNotFound},
			{"drain none", nil, ExitNotFound},
			{"preset edit peak x=1", operator.ErrInvalid, ExitInvalid},
			{"preset set peak", operator.ErrUnavailable, ExitUnavailable},
			{"preset set peak", errors.New("other"), ExitFailed},
			{"preset diff peak", nil, ExitUsage},
			{"preset edit peak", nil, ExitUsage},
			{"completion tcsh", nil, ExitUsage},
			{"nothing", nil, ExitUsage},
			{"--output xml status", nil, ExitUsage},
		} {
			d.err = c.err
			status, _, errOut := run(strings.Fields(c.args)...)
			Expect(status).To(Equal(c.exit), c.args+errOut)
			Expect(errOut).To(ContainSubstring("next: "), c.args)
		}
		d.behind = true
		d.err = nil
		status, out, _ := run("preset", "set", "peak", "--wait", "--wait-timeout", "1ms")
		Expect(status).To(Equal(ExitNotInForce))
		Expect(out).To(ContainSubstring("behind: entry-2 in kol-b has revision 1"))
		GinkgoT().Setenv("HOISTCTL_KEY", "wrong")
		status, _, errOut := run("status")
		Expect(status).To(Equal(ExitCredential))
		Expect(errOut).To(And(ContainSubstring("operator/authenticate"), ContainSubstring(d.address)))
		d.address = "127.0.0.1:1"
		status, _, errOut = run("status", "--timeout", "5s", "--output", "json")
		Expect(status).To(Equal(ExitUnavailable))
		Expect(json.Valid([]byte(errOut))).To(BeTrue())
	})

	It("guards against an HTML page that is not written, and success if its file cannot be created", func() {
		file := filepath.Join(GinkgoT().TempDir(), "timeline.html")
		status, _, errOut := run("timeline", "--request", "01JE-7", "--html", file)
		Expect(status).To(Equal(ExitOK), errOut)
		page, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring("Timeline · 01JE-7"))
		status, _, _ = run("timeline", "--html", filepath.Join(file, "x"))
		Expect(status).To(Equal(ExitFailed))
	})

	It("guards against a request, team, period or limit that is not sent in the query", func() {
		c := &timelineCommand{Request: "r", Team: "t", Since: time.Minute, Limit: 5}
		Expect(c.query(time.UnixMilli(100_000))).To(Equal("limit=5&request=r&since_ms=40000&team=t"))
	})
})
