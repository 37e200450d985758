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

// watchersPerDatacentre is the number that the design page gives.
const watchersPerDatacentre = 2

// seat is one instance: a Follower and an Editor behind one control loop. Call ids are even for the Follower.
type seat struct {
	w          *world
	name, dc   string
	follower   *Follower
	editor     *Editor
	before     func(*seat)
	beforeEdit func(*seat, *objectapi.Done)
	strip      bool
	others     []string
	nextBeat   time.Time
	watcher    bool
	seen       uint64
}

// world runs the instances of two data centres, operators that race, and the network between instances.
type world struct {
	*testutil.Driver
	rng      *rand.Rand
	seats    []*seat
	byName   map[string]*seat
	checker  *testutil.Checker
	messages []message
	loss     float64
	plant    func(*seat)
	// edits holds the open and ended edits by ref; stored the operations in the order of their revisions.
	edits    map[uint64]*Edit
	outcomes map[uint64]Outcome
	results  map[Outcome]int
	stored   map[string]uint64
	last     uint64
	version  objectapi.Version
	resubmit []Edit
	steps    int
	relays   int
	fetches  int
	faults   []string
}

type message struct {
	at  time.Time
	run func()
}

func newWorld(seed int64, perDC int, faults testutil.Faults, loss float64, plant func(*seat)) *world {
	rng := rand.New(rand.NewSource(seed))
	w := &world{
		Driver: testutil.NewDriver(time.UnixMilli(1_800_000_000_000), testutil.NewStore(rng, faults)),
		rng:    rng, byName: map[string]*seat{}, checker: testutil.NewChecker(), loss: loss, plant: plant,
		edits: map[uint64]*Edit{}, outcomes: map[uint64]Outcome{}, results: map[Outcome]int{}, stored: map[string]uint64{},
	}
	for i := range 2 * perDC {
		s := &seat{w: w, name: fmt.Sprintf("i%d", i), dc: fmt.Sprintf("dc%d", i%2)}
		w.seats = append(w.seats, s)
		w.byName[s.name] = s
		w.start(s)
	}
	return w
}

// start begins a new incarnation of the instance.
func (w *world) start(s *seat) {
	s.follower = NewFollower(discardLog, FollowerConfig{Rand: w.rng, Checker: w.checker})
	s.editor = NewEditor(discardLog, EditorConfig{Checker: w.checker})
	s.seen = 0
	if w.plant != nil {
		w.plant(s)
	}
	w.Add(s.name, s)
}

func (s *seat) Tick(now time.Time) []objectapi.Call {
	peers := s.peers()
	view := s.follower.SetView(now, s.watcher, peers)
	return append(s.follow(view), s.edited(now, s.editor.Tick(now))...)
}

func (s *seat) Done(now time.Time, d objectapi.Done) []objectapi.Call {
	if d.ID%2 == 0 {
		d.ID /= 2
		s.prepare()
		return s.follow(s.follower.Done(now, d))
	}
	d.ID /= 2
	if s.beforeEdit != nil {
		s.beforeEdit(s, &d)
	}
	return s.edited(now, s.editor.Done(now, d))
}

func (s *seat) prepare() {
	if s.before != nil {
		s.before(s)
	}
}

func (s *seat) peers() []string {
	if s.others != nil {
		return s.others
	}
	for _, other := range s.w.seats {
		if other.dc == s.dc && other != s {
			s.others = append(s.others, other.name)
		}
	}
	near := append([]string{s.name}, s.others...)
	watchers := rendezvous.Choose("config-watch/"+s.dc, near, watchersPerDatacentre, func(name string) string { return name })
	s.watcher = slices.Contains(watchers, s.name)
	return s.others
}

func (s *seat) follow(out FollowerOutput) []objectapi.Call {
	w := s.w
	for _, relay := range out.Relays {
		w.relays++
		to := w.byName[relay.To]
		w.sendTo(to, func() { to.prepare(); w.Submit(to.name, to.follow(to.follower.Relayed(w.Now, s.name, relay))) })
	}
	for _, fetch := range out.Fetches {
		w.fetches++
		to := w.byName[fetch.To]
		w.sendTo(to, func() {
			stored, ok := to.follower.Serve(fetch)
			w.sendTo(s, func() { s.prepare(); w.Submit(s.name, s.follow(s.follower.Fetched(w.Now, to.name, stored, ok))) })
		})
	}
	if out.Applied != nil {
		if out.Applied.Revision() < s.seen {
			w.fail("%s went from revision %d back to %d", s.name, s.seen, out.Applied.Revision())
		}
		s.seen = out.Applied.Revision()
	}
	for i := range out.Calls {
		out.Calls[i].ID *= 2
	}
	return out.Calls
}

func (s *seat) edited(now time.Time, out EditorOutput) []objectapi.Call {
	for _, result := range out.Results {
		s.w.result(result)
	}
	for i := range out.Calls {
		out.Calls[i].ID = 2*out.Calls[i].ID + 1
		if s.strip {
			out.Calls[i].Request.Condition = objectapi.Condition{}
		}
	}
	calls := out.Calls
	if out.Stored != nil {
		calls = append(calls, s.follow(s.follower.Stored(now, *out.Stored))...)
	}
	return calls
}

// sendTo delivers a message after a delay, unless it is lost or its receiver is paused.
func (w *world) sendTo(to *seat, run func()) {
	if w.rng.Float64() < w.loss {
		return
	}
	at := w.Now.Add(time.Duration(1+w.rng.Intn(300)) * time.Millisecond)
	w.messages = append(w.messages, message{at: at, run: func() {
		if !w.Paused(to.name) {
			run()
		}
	}})
}

func (w *world) run(steps int) {
	for range steps {
		w.disturb()
		if w.rng.Intn(10) == 0 {
			w.edit()
		}
		w.advance()
	}
}

func (w *world) advance() {
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
	for _, s := range w.seats {
		if !w.Paused(s.name) && !w.Now.Before(s.nextBeat) {
			s.nextBeat = w.Now.Add(time.Second)
			w.beat(s)
		}
	}
}

// beat sends the instance's heartbeat as the design page has it: to all peers of the data centre and to one instance
// of the other one, every second with fewer than 30 instances.
func (w *world) beat(s *seat) {
	revision := s.follower.Revision()
	remote := w.rng.Intn(len(w.seats))
	for i, to := range w.seats {
		if to != s && (to.dc == s.dc || i/2 == remote/2) {
			w.sendTo(to, func() { to.prepare(); w.Submit(to.name, to.follow(to.follower.Heartbeat(w.Now, s.name, revision))) })
		}
	}
}

func (w *world) disturb() {
	s := w.seats[w.rng.Intn(len(w.seats))]
	switch draw := w.rng.Intn(1000); {
	case draw < 8:
		w.Pause(s.name, time.Duration(w.rng.Intn(10_000))*time.Millisecond)
	case draw < 10:
		w.Store.SetOutage(true)
	case draw < 30:
		w.Store.SetOutage(false)
	case draw < 33:
		w.start(s)
	case draw < 36:
		w.Store.Compact()
	}
}

// edit submits an operator's change through a random instance, or repeats one of unknown outcome.
func (w *world) edit() {
	s := w.seats[w.rng.Intn(len(w.seats))]
	if w.Paused(s.name) {
		return
	}
	ref := uint64(len(w.edits) + 1)
	edit := w.randomEdit(ref, s.follower.Revision())
	if len(w.resubmit) > 0 && w.rng.Intn(2) == 0 {
		edit = w.resubmit[0]
		w.resubmit = w.resubmit[1:]
	}
	edit.Ref = ref
	edit.Deadline = w.Now.Add(time.Duration(1000+w.rng.Intn(8000)) * time.Millisecond)
	w.edits[ref] = &edit
	w.Submit(s.name, s.edited(w.Now, s.editor.Submit(w.Now, edit)))
}

func (w *world) randomEdit(n, base uint64) Edit {
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

func (w *world) result(result Result) {
	w.results[result.Outcome]++
	edit := w.edits[result.Ref]
	if w.outcomes[result.Ref] != 0 {
		w.fail("edit %d has two results", result.Ref)
	}
	w.outcomes[result.Ref] = result.Outcome
	if result.Outcome == Unknown {
		w.resubmit = append(w.resubmit, *edit)
	}
	if result.Outcome == Accepted && w.stored[edit.OperationID] != result.Revision {
		// The document may have been stored within this step.
		w.checkStored()
		if w.stored[edit.OperationID] != result.Revision {
			w.fail("%s accepted as revision %d and stored as %d", edit.OperationID, result.Revision, w.stored[edit.OperationID])
		}
	}
}

// checkStored follows the stored document through its changes.
func (w *world) checkStored() {
	object, ok := w.Store.Object(objectapi.KindConfig, ObjectName)
	if !ok || object.Version == w.version {
		return
	}
	w.version = object.Version
	document, err := catalog.Decode(object.Value)
	if err != nil {
		w.fail("stored document: %v", err)
		return
	}
	if document.Revision < w.last {
		w.fail("stored revision fell from %d to %d", w.last, document.Revision)
	}
	if document.Revision > w.last && (document.Validate() != nil || !hasOnePresetInForce(document)) {
		w.fail("stored revision %d is invalid", document.Revision)
	}
	for _, change := range document.Changes {
		if change.Revision <= w.last {
			if w.stored[change.OperationID] != change.Revision {
				w.fail("revision %d was rewritten", change.Revision)
			}
			continue
		}
		if w.stored[change.OperationID] != 0 {
			w.fail("%s is stored twice, as %d and %d", change.OperationID, w.stored[change.OperationID], change.Revision)
		}
		w.stored[change.OperationID] = change.Revision
	}
	w.last = document.Revision
}

// finish checks the results against what was stored.
func (w *world) finish() {
	w.checkStored()
	ended := map[string]bool{}
	for ref, outcome := range w.outcomes {
		ended[w.edits[ref].OperationID] = ended[w.edits[ref].OperationID] || outcome == Accepted || outcome == Unknown
	}
	for ref, outcome := range w.outcomes {
		id := w.edits[ref].OperationID
		if outcome != Accepted && outcome != Unknown && !ended[id] && w.stored[id] != 0 && w.once(id) {
			w.fail("%s ended with outcome %d and is stored as revision %d", id, outcome, w.stored[id])
		}
	}
	for name, v := range w.checker.First {
		w.fail("invariant %s: %s", name, v.Detail)
	}
}

// once reports that the operation was submitted once.
func (w *world) once(id string) bool {
	n := 0
	for _, edit := range w.edits {
		if edit.OperationID == id {
			n++
		}
	}
	return n == 1
}

func (w *world) fail(format string, args ...any) {
	if len(w.faults) < 5 {
		w.faults = append(w.faults, fmt.Sprintf(format, args...))
	}
}
