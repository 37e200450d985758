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

// Guards against a revision that decreases, a change that is stored twice or lost after it was accepted, a document
// without exactly one preset in force, and instances that never apply the last revision.
func TestRevisions(t *testing.T) {
	steps, accepted, relays, fetches := 0, uint64(0), 0, 0
	results, injected := map[Outcome]int{}, map[string]int{}
	slowest := time.Duration(0)
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 4).Draw(rt, "instances"), testutil.DrawFaults(rt, 1500, 10*time.Second),
			rapid.Float64Range(0, 0.5).Draw(rt, "message loss"), nil)
		w.runSteps(800)
		w.checkResults()
		slowest = max(slowest, w.checkConvergence(rt))
		if len(w.failures) > 0 {
			rt.Fatalf("%v", w.failures)
		}
		steps, accepted, relays, fetches = steps+w.steps, accepted+w.lastRevision, relays+w.relayCount, fetches+w.fetchCount
		testutil.AddCounts(results, w.outcomeCounts)
		testutil.AddCounts(injected, w.Store.Injected)
	})
	t.Logf("steps %d, revisions %d, results %v, relays %d, fetches %d, faults %v; slowest revision after the faults %v",
		steps, accepted, results, relays, fetches, injected, slowest)
}

// checkConvergence ends all faults and submits one more edit: its revision must be in force at all instances within 6 s
// after it is stored. It returns the time that this took.
func (w *simulation) checkConvergence(t *rapid.T) time.Duration {
	w.Store.SetOutage(false)
	w.Store.SetFaults(testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond})
	w.messageLoss = 0
	for range 1000 { // 50 s: open calls and pauses end, and watches are renewed
		w.advance()
	}
	n := w.nodes[0]
	edit := Edit{
		Ref: uint64(len(w.edits) + 1), OperationID: "settle", Kind: catalog.ItemPreset, Name: "settled",
		BaseRevision: n.follower.Revision(), Item: []byte(`{"name":"settled"}`), Deadline: w.Now.Add(time.Minute),
	}
	w.edits[edit.Ref] = &edit
	w.Submit(n.name, n.handleEditor(w.Now, n.editor.Submit(w.Now, edit)))
	for w.storedRevisions["settle"] == 0 {
		w.advance()
	}
	start := w.Now
	for !w.inForceEverywhere(w.storedRevisions["settle"]) {
		w.advance()
		if w.Now.Sub(start) > 6*time.Second {
			t.Fatalf("revision %d is not in force everywhere after 6 s", w.lastRevision)
		}
	}
	return w.Now.Sub(start)
}

// Guards against a data centre that gets no revisions while its two watchers are paused: heartbeats must distribute a
// revision within 6 s as well.
func TestWatchersLost(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range int64(20) {
		w := newSimulation(seed, 6, testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}, 0, nil)
		for range 20 {
			w.advance()
		}
		for _, n := range w.nodes {
			if n.watches && n.dc == "dc0" {
				w.Pause(n.name, time.Hour)
			}
		}
		start := w.Now
		n := w.nodes[1]
		edit := Edit{Ref: 1, OperationID: "op", Kind: catalog.ItemPreset, Name: "p", Item: []byte(`{"name":"p"}`), Deadline: w.Now.Add(time.Minute)}
		w.edits[1] = &edit
		w.Submit(n.name, n.handleEditor(w.Now, n.editor.Submit(w.Now, edit)))
		for !w.inForceEverywhere(1) && w.Now.Sub(start) <= 6*time.Second {
			w.advance()
		}
		slowest = max(slowest, w.Now.Sub(start))
		if !w.inForceEverywhere(1) || len(w.failures) > 0 {
			t.Errorf("seed %d: revision 1 is not in force everywhere after 6 s, or a check failed: %v", seed, w.failures)
		}
	}
	t.Logf("slowest revision without watchers %v", slowest)
}

// inForceEverywhere reports whether all instances that are not paused have applied at least the revision.
func (w *simulation) inForceEverywhere(revision uint64) bool {
	for _, n := range w.nodes {
		if !w.Paused(n.name) && n.follower.Revision() < revision {
			return false
		}
	}
	return true
}

// Guards against checks that never fail: the checks must find each planted defect with at least one of the seeds 0 to 19.
func TestPlantedFaults(t *testing.T) {
	defects := map[string]func(*node){
		"apply an older revision": func(n *node) {
			n.beforeFollowerCall = func(n *node) { n.follower.document = nil }
		},
		"write without condition": func(n *node) { n.dropConditions = true },
		"unknown outcome taken as failure": func(n *node) {
			n.beforeEditorDone = func(n *node, d *objectapi.CallResult) {
				c := n.editor.current
				if c != nil && c.callID == d.ID && c.op == objectapi.OpPut && errors.Is(d.Err, objectapi.ErrUnavailable) {
					c.Deadline, c.outcomeUnknown = time.Time{}, false
				}
			}
		},
		"operation id not recognised": func(n *node) {
			n.beforeEditorDone = func(n *node, d *objectapi.CallResult) {
				document, err := catalog.Decode(d.Reply.Object.Value)
				if err != nil || n.editor.current == nil {
					return
				}
				n.editor.current.BaseRevision = document.Revision
				for i := range document.Changes {
					if document.Changes[i].OperationID == n.editor.current.OperationID {
						document.Changes[i].OperationID = "forgotten"
					}
				}
				d.Reply.Object.Value, _ = document.Encode()
			}
		},
	}
	faults := testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 300 * time.Millisecond, LoseReply: 0.15, Drop: 0.05, Late: 0.1, MaxLate: 5 * time.Second}
	testutil.RunPlantedFaults(t, 20, defects, func(seed int64, plantDefect func(*node)) []string {
		w := newSimulation(seed, 2, faults, 0.2, plantDefect)
		w.runSteps(600)
		w.checkResults()
		return w.failures
	})
}
