package distribution

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Guards against a revision that falls, a change that is stored twice or lost after it was accepted, a document
// without exactly one preset in force, and instances that stay behind.
func TestRevisions(t *testing.T) {
	steps, accepted, relays, fetches := 0, uint64(0), 0, 0
	results, injected := map[Outcome]int{}, map[string]int{}
	slowest := time.Duration(0)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 4).Draw(rt, "instances"), testutil.DrawFaults(rt, 1500, 10*time.Second),
			rapid.Float64Range(0, 0.5).Draw(rt, "message loss"), nil)
		w.run(800)
		w.finish()
		slowest = max(slowest, w.settle(rt))
		if len(w.faults) > 0 {
			rt.Fatalf("%v", w.faults)
		}
		steps, accepted, relays, fetches = steps+w.steps, accepted+w.last, relays+w.relays, fetches+w.fetches
		testutil.AddCounts(results, w.results)
		testutil.AddCounts(injected, w.Store.Injected)
	})
	t.Logf("steps %d, revisions %d, results %v, relays %d, fetches %d, faults %v; slowest revision after the faults %v",
		steps, accepted, results, relays, fetches, injected, slowest)
}

// settle ends all faults and makes one more change: it must be in force everywhere within 6 s.
func (w *world) settle(t *rapid.T) time.Duration {
	w.Store.SetOutage(false)
	w.Store.SetFaults(testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond})
	w.loss = 0
	for range 1000 { // 50 s: calls that are still open end, pauses end, watches are renewed
		w.advance()
	}
	s := w.seats[0]
	edit := Edit{
		Ref: uint64(len(w.edits) + 1), OperationID: "settle", Kind: catalog.ItemPreset, Name: "settled",
		BaseRevision: s.follower.Revision(), Item: []byte(`{"name":"settled"}`), Deadline: w.Now.Add(time.Minute),
	}
	w.edits[edit.Ref] = &edit
	w.Submit(s.name, s.edited(w.Now, s.editor.Submit(w.Now, edit)))
	for w.stored["settle"] == 0 {
		w.advance()
	}
	start := w.Now
	for !w.everywhere(w.stored["settle"]) {
		w.advance()
		if w.Now.Sub(start) > 6*time.Second {
			t.Fatalf("revision %d is not in force everywhere after 6 s", w.last)
		}
	}
	return w.Now.Sub(start)
}

// Guards against a data centre that depends on its two watchers: heartbeats bring the revision within 6 s as well.
func TestWatchersLost(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range int64(20) {
		w := newWorld(seed, 6, testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}, 0, nil)
		for range 20 {
			w.advance()
		}
		for _, s := range w.seats {
			if s.watcher && s.dc == "dc0" {
				w.Pause(s.name, time.Hour)
			}
		}
		start := w.Now
		s := w.seats[1]
		edit := Edit{Ref: 1, OperationID: "op", Kind: catalog.ItemPreset, Name: "p", Item: []byte(`{"name":"p"}`), Deadline: w.Now.Add(time.Minute)}
		w.edits[1] = &edit
		w.Submit(s.name, s.edited(w.Now, s.editor.Submit(w.Now, edit)))
		for !w.everywhere(1) && w.Now.Sub(start) <= 6*time.Second {
			w.advance()
		}
		slowest = max(slowest, w.Now.Sub(start))
		if !w.everywhere(1) || len(w.faults) > 0 {
			t.Errorf("seed %d: not in force everywhere after 6 s; %v", seed, w.faults)
		}
	}
	t.Logf("slowest %v", slowest)
}

// everywhere reports that all instances that run have at least the revision.
func (w *world) everywhere(revision uint64) bool {
	for _, s := range w.seats {
		if !w.Paused(s.name) && s.follower.Revision() < revision {
			return false
		}
	}
	return true
}

// Guards against checks that cannot fail: each planted fault must be found by these seeds.
func TestPlantedFaults(t *testing.T) {
	plants := map[string]func(*seat){
		"apply an older revision": func(s *seat) {
			s.before = func(s *seat) { s.follower.document = nil }
		},
		"write without condition": func(s *seat) { s.strip = true },
		"unknown outcome taken as failure": func(s *seat) {
			s.beforeEdit = func(s *seat, d *objectapi.Done) {
				c := s.editor.current
				if c != nil && c.callID == d.ID && c.op == objectapi.OpPut && errors.Is(d.Err, objectapi.ErrUnavailable) {
					c.Deadline, c.unresolved = time.Time{}, false
				}
			}
		},
		"operation id not recognised": func(s *seat) {
			s.beforeEdit = func(s *seat, d *objectapi.Done) {
				document, err := catalog.Decode(d.Reply.Object.Value)
				if err != nil || s.editor.current == nil {
					return
				}
				s.editor.current.BaseRevision = document.Revision
				for i := range document.Changes {
					if document.Changes[i].OperationID == s.editor.current.OperationID {
						document.Changes[i].OperationID = "forgotten"
					}
				}
				d.Reply.Object.Value, _ = document.Encode()
			}
		},
	}
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 300 * time.Millisecond, LoseReply: 0.15, Drop: 0.05, Late: 0.1, MaxLate: 5 * time.Second}
	testutil.RunPlantedFaults(t, 20, plants, func(seed int64, plant func(*seat)) []string {
		w := newWorld(seed, 2, faults, 0.2, plant)
		w.run(600)
		w.finish()
		return w.faults
	})
}
