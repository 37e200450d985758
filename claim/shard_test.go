package claim

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Guards against a call that runs twice, under paused owners, two instances that own the shard at the same time, lost and
// late writes, restarts of owners and homes, and slots that expire and are deleted.
func TestAtMostOnce(t *testing.T) {
	steps, sent, takeovers, ends := 0, 0, 0, 0
	verdicts, injected, calls := map[Verdict]int{}, map[string]int{}, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		retention := rapid.SampledFrom([]time.Duration{time.Hour, 15 * time.Second}).Draw(rt, "retention")
		s := newSimulation(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 4).Draw(rt, "instances"), retention, testutil.DrawFaults(rt, 800, 20*time.Second), nil)
		s.run(1500)
		if len(s.failures) > 0 {
			rt.Fatalf("%v", s.failures)
		}
		s.checkRecovery(rt)
		steps, sent, takeovers, ends = steps+s.steps, sent+s.sent, takeovers+s.takeovers, ends+s.ends
		testutil.AddCounts(verdicts, s.verdicts)
		testutil.AddCounts(injected, s.Store.Injected)
		testutil.AddCounts(calls, s.Store.Calls)
	})
	t.Logf("steps %d, sent %d, ended %d, takeovers %d, verdicts %v, faults %v, platform calls %v",
		steps, sent, ends, takeovers, verdicts, injected, calls)
}

// checkRecovery ends all faults and checks that the claim of a new key is granted once there is one owner.
func (s *simulation) checkRecovery(t *rapid.T) {
	s.Store.SetOutage(false)
	s.Store.SetFaults(testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond})
	s.Step(10 * time.Second)
	for i, name := range s.names {
		s.setOwner(name, i == 0)
	}
	for range 1500 {
		s.Step(50 * time.Millisecond)
	}
	r := s.replicas[s.names[0]]
	if !r.Owned() {
		t.Fatalf("the shard is not owned 75 s after the last fault")
	}
	sent := s.sent
	home := r.cfg.Incarnation
	c := &call{id: home + "-settle", home: home, state: "waiting", keyNumber: -1, key: KeyHash("t", "s", "settle"), deadline: s.Now.Add(time.Minute)}
	for s.sent == sent && c.state == "waiting" && !s.Now.After(c.deadline) {
		s.lastRef++
		s.callsByRef[s.lastRef] = c
		req := Request{Ref: s.lastRef, Key: c.key, RequestID: c.id, From: home, Retention: s.retention, Deadline: c.deadline}
		s.Submit(s.names[0], r.handleOutput(s.Now, r.Claim(s.Now, req)))
		s.Step(500 * time.Millisecond)
	}
	if c.state != "running" {
		t.Fatalf("the claim of a new key is not granted after the last fault")
	}
}

// Guards against checks that cannot fail: the checks of TestAtMostOnce must find each injected defect within 20 seeds.
func TestPlantedFaults(t *testing.T) {
	defects := map[string]func(*replica){
		"claim granted before its write is durable": injectEarlyGrant,
		"unknown outcome treated as success":        injectUnknownAsStored,
		"append repeated after a conflict":          injectIgnoredConflict,
		"takeover without seal":                     injectMissingSeal,
	}
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 200 * time.Millisecond, LoseReply: 0.1, Drop: 0.05, Late: 0.1, MaxLate: 5 * time.Second}
	testutil.RunPlantedFaults(t, 20, defects, func(seed int64, inject func(*replica)) []string {
		s := newSimulation(seed, 3, time.Hour, faults, inject)
		s.run(1500)
		return s.failures
	})
}

// injectEarlyGrant grants the claims of a batch as soon as it is sent.
func injectEarlyGrant(r *replica) {
	r.rewriteOutput = func(now time.Time, out *Output) {
		for _, o := range r.batch {
			for _, req := range o.requests {
				o.entry.durable = true
				r.grant(req, o.entry, o, out)
			}
			o.requests = nil
		}
	}
}

// injectUnknownAsStored treats an append with an unknown outcome as stored.
func injectUnknownAsStored(r *replica) {
	r.rewriteDone = func(_ time.Time, d objectapi.CallResult) objectapi.CallResult {
		if r.logCall != nil && r.logCall.id == d.ID && r.logCall.stage == stageAppend && errors.Is(d.Err, objectapi.ErrUnavailable) {
			d.Err = nil
			d.Reply.Object.Version = r.tail.version
		}
		return d
	}
}

// injectIgnoredConflict repeats a refused append at the version that caused the conflict.
func injectIgnoredConflict(r *replica) {
	r.rewriteDone = func(_ time.Time, d objectapi.CallResult) objectapi.CallResult {
		if r.logCall != nil && r.logCall.id == d.ID && r.logCall.stage == stageAppend && errors.Is(d.Err, objectapi.ErrConflict) {
			r.logCall.request.Condition.IfVersion = d.Reply.Object.Version
			d.Err = objectapi.ErrUnavailable
		}
		return d
	}
}

// injectMissingSeal continues a takeover without sealing the last slot.
func injectMissingSeal(r *replica) {
	r.rewriteOutput = func(now time.Time, out *Output) {
		if r.logCall == nil || r.logCall.stage != stageSeal {
			return
		}
		out.Calls = nil
		version := r.takeover.last.Version
		next := r.Shard.Done(now, objectapi.CallResult{ID: r.logCall.id, Reply: objectapi.Reply{Object: objectapi.Object{Version: version}}})
		out.Calls = append(out.Calls, next.Calls...)
	}
}
