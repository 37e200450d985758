package claim

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Guards against a call that runs twice: owners that are paused or believe that they own the shard at the same
// time, lost and late writes, restarts of owners and homes, and slots that expire and are deleted.
func TestAtMostOnce(t *testing.T) {
	steps, sent, takeovers, ends := 0, 0, 0, 0
	verdicts, injected, calls := map[Verdict]int{}, map[string]int{}, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		retention := rapid.SampledFrom([]time.Duration{time.Hour, 15 * time.Second}).Draw(rt, "retention")
		w := newWorld(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 4).Draw(rt, "instances"), retention, testutil.DrawFaults(rt, 800, 20*time.Second), nil)
		w.run(1500)
		if len(w.faults) > 0 {
			rt.Fatalf("%v", w.faults)
		}
		w.settle(rt)
		steps, sent, takeovers, ends = steps+w.steps, sent+w.sent, takeovers+w.takeovers, ends+w.ends
		testutil.Add(verdicts, w.verdicts)
		testutil.Add(injected, w.Store.Injected)
		testutil.Add(calls, w.Store.Calls)
	})
	t.Logf("steps %d, sent %d, ended %d, takeovers %d, verdicts %v, faults %v, platform calls %v",
		steps, sent, ends, takeovers, verdicts, injected, calls)
}

// settle ends all faults: with one owner, a new key must be granted again.
func (w *world) settle(t *rapid.T) {
	w.Store.SetOutage(false)
	w.Store.SetFaults(testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond})
	w.Step(10 * time.Second)
	for i, name := range w.names {
		w.own(name, i == 0)
	}
	for range 1500 {
		w.Step(50 * time.Millisecond)
	}
	s := w.seats[w.names[0]]
	if !s.Owned() {
		t.Fatalf("not owned 75 s after the last fault")
	}
	sent := w.sent
	home := s.cfg.Incarnation
	c := &call{id: home + "-settle", home: home, state: "waiting", keyName: -1, key: KeyHash("t", "s", "settle"), deadline: w.Now.Add(time.Minute)}
	for w.sent == sent && c.state == "waiting" && !w.Now.After(c.deadline) {
		w.ref++
		w.refs[w.ref] = c
		ask := Ask{Ref: w.ref, Key: c.key, RequestID: c.id, From: home, Retention: w.retention, Deadline: c.deadline}
		w.Submit(w.names[0], s.collect(w.Now, s.Ask(w.Now, ask)))
		w.Step(500 * time.Millisecond)
	}
	if c.state != "running" {
		t.Fatalf("not granted after the last fault")
	}
}

// Guards against checks that cannot fail: each planted fault must be found by these seeds.
func TestPlantedFaults(t *testing.T) {
	plants := map[string]func(*seat){
		"grant before the write is durable": plantEarlyCommit,
		"unknown outcome taken as success":  plantOptimism,
		"keep appending after a conflict":   plantIgnoreFence,
		"takeover without seal":             plantNoSeal,
	}
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 200 * time.Millisecond, LoseReply: 0.1, Drop: 0.05, Late: 0.1, MaxLate: 5 * time.Second}
	testutil.Planted(t, 20, plants, func(seed int64, plant func(*seat)) []string {
		w := newWorld(seed, 3, time.Hour, faults, plant)
		w.run(1500)
		return w.faults
	})
}

// plantEarlyCommit settles a batch when it is sent.
func plantEarlyCommit(s *seat) {
	s.after = func(now time.Time, out *Output) {
		for _, o := range s.flight {
			for _, ask := range o.asks {
				o.entry.durable = true
				s.grant(ask, o.entry, o, out)
			}
			o.asks = nil
		}
	}
}

// plantOptimism takes an append of unknown outcome as stored.
func plantOptimism(s *seat) {
	s.before = func(_ time.Time, d objectapi.Done) objectapi.Done {
		if s.main != nil && s.main.id == d.ID && s.main.stage == stageAppend && errors.Is(d.Err, objectapi.ErrUnavailable) {
			d.Err = nil
			d.Reply.Object.Version = s.tail.version
		}
		return d
	}
}

// plantIgnoreFence repeats a refused append at the version that refused it.
func plantIgnoreFence(s *seat) {
	s.before = func(_ time.Time, d objectapi.Done) objectapi.Done {
		if s.main != nil && s.main.id == d.ID && s.main.stage == stageAppend && errors.Is(d.Err, objectapi.ErrConflict) {
			s.main.request.Condition.IfVersion = d.Reply.Object.Version
			d.Err = objectapi.ErrUnavailable
		}
		return d
	}
}

// plantNoSeal goes on without sealing the last slot.
func plantNoSeal(s *seat) {
	s.after = func(now time.Time, out *Output) {
		if s.main == nil || s.main.stage != stageSeal {
			return
		}
		out.Calls = nil
		version := s.take.last.Version
		next := s.Shard.Done(now, objectapi.Done{ID: s.main.id, Reply: objectapi.Reply{Object: objectapi.Object{Version: version}}})
		out.Calls = append(out.Calls, next.Calls...)
	}
}
