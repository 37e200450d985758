package distribution

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
	"knapweedhoist/rendezvous"
	"knapweedhoist/testutil"
)

// watchersPerDatacentre is the number of watchers in each data centre, as in package membership.
const watchersPerDatacentre = 2

// node is one instance: a Follower and an Editor behind one control loop. The ids of calls are even for the Follower and
// odd for the Editor. beforeFollowerCall, beforeEditorDone and dropConditions are unset unless plantDefect sets them.
type node struct {
	w                  *simulation
	name, dc           string
	follower           *Follower
	editor             *Editor
	beforeFollowerCall func(*node)
	beforeEditorDone   func(*node, *objectapi.CallResult)
	dropConditions     bool
	peerNames          []string
	nextHeartbeat      time.Time
	watches            bool
	appliedRevision    uint64
}

// simulation runs the instances of two data centres, operators whose edits race, and the network between instances.
// failures are the violations found. plantDefect, unless nil, is called for each started instance to plant a defect.
type simulation struct {
	*testutil.Driver
	rng         *rand.Rand
	nodes       []*node
	byName      map[string]*node
	checker     *testutil.Checker
	messages    []message
	messageLoss float64
	plantDefect func(*node)
	// edits holds all submitted edits and outcomes their outcomes, by ref; storedRevisions the revision of each stored
	// operation id.
	edits           map[uint64]*Edit
	outcomes        map[uint64]Outcome
	outcomeCounts   map[Outcome]int
	storedRevisions map[string]uint64
	lastRevision    uint64
	storedVersion   objectapi.Version
	unknownEdits    []Edit
	steps           int
	relayCount      int
	fetchCount      int
	failures        []string
}

type message struct {
	at  time.Time
	run func()
}

func newSimulation(seed int64, perDC int, faults testutil.Faults, loss float64, plantDefect func(*node)) *simulation {
	rng := rand.New(rand.NewSource(seed))
	w := &simulation{
		Driver: testutil.NewDriver(time.UnixMilli(1_800_000_000_000), testutil.NewStore(rng, faults)),
		rng:    rng, byName: map[string]*node{}, checker: testutil.NewChecker(), messageLoss: loss, plantDefect: plantDefect,
		edits: map[uint64]*Edit{}, outcomes: map[uint64]Outcome{}, outcomeCounts: map[Outcome]int{}, storedRevisions: map[string]uint64{},
	}
	for i := range 2 * perDC {
		n := &node{w: w, name: fmt.Sprintf("i%d", i), dc: fmt.Sprintf("dc%d", i%2)}
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
		w.startNode(n)
	}
	return w
}

// startNode starts the instance, or restarts it without its state.
func (w *simulation) startNode(n *node) {
	n.follower = NewFollower(discardLog, FollowerConfig{Rand: w.rng, Checker: w.checker})
	n.editor = NewEditor(discardLog, EditorConfig{Checker: w.checker})
	n.appliedRevision = 0
	if w.plantDefect != nil {
		w.plantDefect(n)
	}
	w.Add(n.name, n)
}

func (n *node) Tick(now time.Time) []objectapi.Call {
	peers := n.peers()
	view := n.follower.SetView(now, n.watches, peers)
	return append(n.handle(view), n.handleEditor(now, n.editor.Tick(now))...)
}

func (n *node) Done(now time.Time, d objectapi.CallResult) []objectapi.Call {
	if d.ID%2 == 0 {
		d.ID /= 2
		n.inject()
		return n.handle(n.follower.Done(now, d))
	}
	d.ID /= 2
	if n.beforeEditorDone != nil {
		n.beforeEditorDone(n, &d)
	}
	return n.handleEditor(now, n.editor.Done(now, d))
}

// inject runs beforeFollowerCall, if set, before a call of the Follower.
func (n *node) inject() {
	if n.beforeFollowerCall != nil {
		n.beforeFollowerCall(n)
	}
}

func (n *node) peers() []string {
	if n.peerNames != nil {
		return n.peerNames
	}
	for _, other := range n.w.nodes {
		if other.dc == n.dc && other != n {
			n.peerNames = append(n.peerNames, other.name)
		}
	}
	near := append([]string{n.name}, n.peerNames...)
	watchers := rendezvous.Choose("config-watch/"+n.dc, near, watchersPerDatacentre, func(name string) string { return name })
	n.watches = slices.Contains(watchers, n.name)
	return n.peerNames
}

// handle sends the messages of a Follower's output and returns its calls.
func (n *node) handle(out FollowerOutput) []objectapi.Call {
	w := n.w
	for _, relay := range out.Relays {
		w.relayCount++
		to := w.byName[relay.To]
		w.sendAfterDelay(to, func() { to.inject(); w.Submit(to.name, to.handle(to.follower.ApplyRelay(w.Now, n.name, relay))) })
	}
	for _, fetch := range out.Fetches {
		w.fetchCount++
		to := w.byName[fetch.To]
		w.sendAfterDelay(to, func() {
			stored, ok := to.follower.AnswerFetch(fetch)
			w.sendAfterDelay(n, func() { n.inject(); w.Submit(n.name, n.handle(n.follower.FetchDone(w.Now, to.name, stored, ok))) })
		})
	}
	if out.Applied != nil {
		if out.Applied.Revision() < n.appliedRevision {
			w.fail("%s went from revision %d back to %d", n.name, n.appliedRevision, out.Applied.Revision())
		}
		n.appliedRevision = out.Applied.Revision()
	}
	for i := range out.Calls {
		out.Calls[i].ID *= 2
	}
	return out.Calls
}

// handleEditor records the results of an Editor's output and returns its calls.
func (n *node) handleEditor(now time.Time, out EditorOutput) []objectapi.Call {
	for _, result := range out.Results {
		n.w.recordResult(result)
	}
	for i := range out.Calls {
		out.Calls[i].ID = 2*out.Calls[i].ID + 1
		if n.dropConditions {
			out.Calls[i].Request.Condition = objectapi.Condition{}
		}
	}
	calls := out.Calls
	if out.Stored != nil {
		calls = append(calls, n.handle(n.follower.ApplyStored(now, *out.Stored))...)
	}
	return calls
}

// sendAfterDelay delivers a message after a random delay, unless it is lost or its receiver is paused.
func (w *simulation) sendAfterDelay(to *node, run func()) {
	if w.rng.Float64() < w.messageLoss {
		return
	}
	at := w.Now.Add(time.Duration(1+w.rng.Intn(300)) * time.Millisecond)
	w.messages = append(w.messages, message{at: at, run: func() {
		if !w.Paused(to.name) {
			run()
		}
	}})
}

func (w *simulation) runSteps(steps int) {
	for range steps {
		w.injectFault()
		if w.rng.Intn(10) == 0 {
			w.submitRandomEdit()
		}
		w.advance()
	}
}

func (w *simulation) advance() {
	w.steps++
	w.Step(time.Duration(1+w.rng.Intn(100)) * time.Millisecond)
	w.checkStored()
	due := w.messages
	w.messages = nil
	for _, m := range due {
		if m.at.After(w.Now) {
			w.messages = append(w.messages, m)
			continue
		}
		m.run()
	}
	for _, n := range w.nodes {
		if !w.Paused(n.name) && !w.Now.Before(n.nextHeartbeat) {
			n.nextHeartbeat = w.Now.Add(time.Second)
			w.sendHeartbeats(n)
		}
	}
}

// sendHeartbeats sends the heartbeat of the instance as package membership does: to all peers of the data centre and to
// one instance of the other one. It is called every second, the interval of membership with up to 20 instances in a data
// centre.
func (w *simulation) sendHeartbeats(n *node) {
	revision := n.follower.Revision()
	remote := w.rng.Intn(len(w.nodes))
	for i, to := range w.nodes {
		if to != n && (to.dc == n.dc || i/2 == remote/2) {
			w.sendAfterDelay(to, func() { to.inject(); w.Submit(to.name, to.handle(to.follower.Heartbeat(w.Now, n.name, revision))) })
		}
	}
}

func (w *simulation) injectFault() {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	switch draw := w.rng.Intn(1000); {
	case draw < 8:
		w.Pause(n.name, time.Duration(w.rng.Intn(10_000))*time.Millisecond)
	case draw < 10:
		w.Store.SetOutage(true)
	case draw < 30:
		w.Store.SetOutage(false)
	case draw < 33:
		w.startNode(n)
	case draw < 36:
		w.Store.Compact()
	}
}

// submitRandomEdit submits a random edit at a random instance, or repeats one whose outcome is unknown.
func (w *simulation) submitRandomEdit() {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	if w.Paused(n.name) {
		return
	}
	ref := uint64(len(w.edits) + 1)
	edit := w.randomEdit(ref, n.follower.Revision())
	if len(w.unknownEdits) > 0 && w.rng.Intn(2) == 0 {
		edit = w.unknownEdits[0]
		w.unknownEdits = w.unknownEdits[1:]
	}
	edit.Ref = ref
	edit.Deadline = w.Now.Add(time.Duration(1000+w.rng.Intn(8000)) * time.Millisecond)
	w.edits[ref] = &edit
	w.Submit(n.name, n.handleEditor(w.Now, n.editor.Submit(w.Now, edit)))
}

func (w *simulation) randomEdit(n, base uint64) Edit {
	edit := Edit{OperationID: fmt.Sprintf("op-%d", n), Operator: "ana", BaseRevision: base}
	item := w.rng.Intn(4)
	switch w.rng.Intn(4) {
	case 0:
		edit.Kind, edit.Name = catalog.ItemService, fmt.Sprintf("service-%d", item)
		edit.Item = json.RawMessage(fmt.Sprintf(`{"name":%q,"kind":"plain","retention_hours":%d}`, edit.Name, 1+n%100))
	case 1:
		edit.Kind, edit.Name = catalog.ItemTeam, fmt.Sprintf("team-%d", item)
		hash := fmt.Sprintf("%064x", item)
		edit.Item = json.RawMessage(fmt.Sprintf(`{"name":%q,"key_hashes":[%q],"services":["service-%d"],"weight":%d}`, edit.Name, hash, w.rng.Intn(4), 1+n%100))
	case 2:
		edit.Kind, edit.Name = catalog.ItemPreset, fmt.Sprintf("preset-%d", item)
		edit.Item = json.RawMessage(fmt.Sprintf(`{"name":%q,"short_tokens":%d}`, edit.Name, n))
	default:
		edit.Kind = catalog.ItemInForce
		edit.Item = json.RawMessage(fmt.Sprintf(`"preset-%d"`, item))
	}
	if edit.Kind != catalog.ItemInForce && w.rng.Intn(4) == 0 {
		edit.Item = nil
	}
	return edit
}

func (w *simulation) recordResult(result Result) {
	w.outcomeCounts[result.Outcome]++
	edit := w.edits[result.Ref]
	if w.outcomes[result.Ref] != 0 {
		w.fail("edit %d has two results", result.Ref)
	}
	w.outcomes[result.Ref] = result.Outcome
	if result.Outcome == Unknown {
		w.unknownEdits = append(w.unknownEdits, *edit)
	}
	if result.Outcome == Accepted && w.storedRevisions[edit.OperationID] != result.Revision {
		// The document may have been stored since the last check in this step.
		w.checkStored()
		if w.storedRevisions[edit.OperationID] != result.Revision {
			w.fail("%s was accepted as revision %d but stored as %d", edit.OperationID, result.Revision, w.storedRevisions[edit.OperationID])
		}
	}
}

// checkStored checks that the stored revision never decreases, that each stored document is valid, that retained
// revisions keep their operation ids, and that each operation id is stored once.
func (w *simulation) checkStored() {
	object, ok := w.Store.Object(objectapi.KindConfig, ObjectName)
	if !ok || object.Version == w.storedVersion {
		return
	}
	w.storedVersion = object.Version
	document, err := catalog.Decode(object.Value)
	if err != nil {
		w.fail("stored document: %v", err)
		return
	}
	if document.Revision < w.lastRevision {
		w.fail("stored revision fell from %d to %d", w.lastRevision, document.Revision)
	}
	if document.Revision > w.lastRevision && (document.Validate() != nil || !hasOnePresetInForce(document)) {
		w.fail("stored revision %d is invalid", document.Revision)
	}
	for _, change := range document.Changes {
		if change.Revision <= w.lastRevision {
			if w.storedRevisions[change.OperationID] != change.Revision {
				w.fail("revision %d was rewritten", change.Revision)
			}
			continue
		}
		if w.storedRevisions[change.OperationID] != 0 {
			w.fail("%s is stored twice, as %d and %d", change.OperationID, w.storedRevisions[change.OperationID], change.Revision)
		}
		w.storedRevisions[change.OperationID] = change.Revision
	}
	w.lastRevision = document.Revision
}

// checkResults checks that no edit that ended as not stored was stored, and reports violated invariants.
func (w *simulation) checkResults() {
	w.checkStored()
	mayBeStored := map[string]bool{}
	for ref, outcome := range w.outcomes {
		mayBeStored[w.edits[ref].OperationID] = mayBeStored[w.edits[ref].OperationID] || outcome == Accepted || outcome == Unknown
	}
	for ref, outcome := range w.outcomes {
		id := w.edits[ref].OperationID
		if outcome != Accepted && outcome != Unknown && !mayBeStored[id] && w.storedRevisions[id] != 0 && w.submittedOnce(id) {
			w.fail("%s ended with outcome %d but is stored as revision %d", id, outcome, w.storedRevisions[id])
		}
	}
	for name, v := range w.checker.First {
		w.fail("invariant %s: %s", name, v.Detail)
	}
}

// submittedOnce reports whether the operation id was submitted once.
func (w *simulation) submittedOnce(id string) bool {
	n := 0
	for _, edit := range w.edits {
		if edit.OperationID == id {
			n++
		}
	}
	return n == 1
}

func (w *simulation) fail(format string, args ...any) {
	if len(w.failures) < 5 {
		w.failures = append(w.failures, fmt.Sprintf(format, args...))
	}
}
