package claim

import (
	"fmt"
	"math/rand"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// call is one caller's non-idempotent call, as its home instance keeps it.
type call struct {
	id, home  string
	key, body Hash
	keyName   int
	deadline  time.Time
	nextAsk   time.Time
	state     string // waiting, running, done, released, ended
	endAt     time.Time
	notRun    bool // the endpoint will prove that it did not run
	noClaim   int
}

// run is the ledger's entry of a call that was sent to an endpoint.
type run struct {
	call     *call
	at       time.Time
	released bool
}

// world runs instances of one shard and the homes of calls, and keeps a ledger of what was sent.
type world struct {
	*testutil.Driver
	rng                   *rand.Rand
	names                 []string
	seats                 map[string]*seat
	checker               *testutil.Checker
	calls                 []*call
	refs                  map[uint64]*call
	runs                  map[int]*run
	ref                   uint64
	seq, steps            int
	retention             time.Duration
	sent, takeovers, ends int
	verdicts              map[Verdict]int
	faults                []string
	plant                 func(*seat)
}

// seat adapts a Shard to the driver. before and after plant faults.
type seat struct {
	*Shard
	w      *world
	name   string
	before func(now time.Time, d objectapi.Done) objectapi.Done
	after  func(now time.Time, out *Output)
}

func (s *seat) Tick(now time.Time) []objectapi.Call { return s.collect(now, s.Shard.Tick(now)) }

func (s *seat) Done(now time.Time, d objectapi.Done) []objectapi.Call {
	if s.before != nil {
		d = s.before(now, d)
	}
	return s.collect(now, s.Shard.Done(now, d))
}

func (s *seat) collect(now time.Time, out Output) []objectapi.Call {
	if s.after != nil {
		s.after(now, &out)
	}
	s.w.route(out)
	return out.Calls
}

func newWorld(seed int64, n int, retention time.Duration, faults testutil.Faults, plant func(*seat)) *world {
	rng := rand.New(rand.NewSource(seed))
	w := &world{
		Driver: testutil.NewDriver(time.UnixMilli(1_800_000_000_000), testutil.NewStore(rng, faults)),
		rng:    rng, seats: make(map[string]*seat), checker: testutil.NewChecker(), refs: make(map[uint64]*call),
		runs: make(map[int]*run), retention: retention, verdicts: make(map[Verdict]int), plant: plant,
	}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("i%d", i))
		w.start(w.names[i])
	}
	return w
}

// start replaces an instance by a new incarnation. The calls of the old one end without a word.
func (w *world) start(name string) {
	if old, ok := w.seats[name]; ok {
		for _, c := range w.calls {
			if c.home == old.cfg.Incarnation {
				c.state = "ended"
			}
		}
	}
	cfg := Config{
		Incarnation: fmt.Sprintf("%s.%d", name, w.steps), Rand: w.rng, Checker: w.checker, ExpiryMargin: 5 * time.Second,
	}
	s := &seat{Shard: NewShard(discardLog, cfg), w: w, name: name}
	if w.plant != nil {
		w.plant(s)
	}
	w.seats[name] = s
	w.Add(name, s)
}

func (w *world) run(steps int) {
	w.own(w.names[0], true)
	for range steps {
		w.steps++
		w.Step(time.Duration(1+w.rng.Intn(100)) * time.Millisecond)
		w.disturb()
		w.arrive()
		w.drive()
	}
	for name, v := range w.checker.First {
		w.fail("invariant %s: %s", name, v.Detail)
	}
}

func (w *world) own(name string, owner bool) {
	if w.Paused(name) {
		return
	}
	s := w.seats[name]
	w.Submit(name, s.collect(w.Now, s.SetOwner(w.Now, owner)))
}

// disturb moves the ownership, also to two instances at once, and injects pauses, outages and restarts.
func (w *world) disturb() {
	name := w.names[w.rng.Intn(len(w.names))]
	switch draw := w.rng.Intn(1000); {
	case draw < 15:
		w.own(name, true)
	case draw < 25:
		w.own(name, false)
	case draw < 32:
		w.Pause(name, time.Duration(w.rng.Intn(8000))*time.Millisecond)
	case draw < 34:
		w.Store.SetOutage(true)
	case draw < 60:
		w.Store.SetOutage(false)
	case draw < 64:
		w.start(name)
	}
}

// arrive starts calls on a few keys, so that most keys are contended.
func (w *world) arrive() {
	if w.rng.Intn(4) != 0 {
		return
	}
	home := w.seats[w.names[w.rng.Intn(len(w.names))]].cfg.Incarnation
	w.seq++
	key := w.rng.Intn(4 + w.steps/50)
	c := &call{
		id: fmt.Sprintf("%s-%d", home, w.seq), home: home, keyName: key, state: "waiting",
		key: KeyHash("team", "reservas", fmt.Sprint(key)), body: BodyHash([]byte{byte(w.rng.Intn(20) / 19)}),
		deadline: w.Now.Add(time.Duration(500+w.rng.Intn(8000)) * time.Millisecond), notRun: w.rng.Intn(3) == 0,
	}
	w.calls = append(w.calls, c)
}

// drive does what the homes of the open calls do.
func (w *world) drive() {
	open := w.calls[:0]
	for _, c := range w.calls {
		if c.state != "ended" {
			w.driveCall(c)
			open = append(open, c)
		}
	}
	w.calls = open
}

func (w *world) driveCall(c *call) {
	if c.state == "waiting" && w.Now.After(c.deadline) {
		c.state, c.nextAsk = "released", w.Now // the caller gets not_run; the call is never sent
	}
	if c.state == "running" && w.Now.After(c.endAt) {
		c.state, c.nextAsk = "done", w.Now
		w.runs[c.keyName].released = c.notRun
		w.ends++
	}
	if w.Now.Before(c.nextAsk) || c.state == "running" {
		return
	}
	c.nextAsk = w.Now.Add(time.Duration(50+w.rng.Intn(1000)) * time.Millisecond)
	name := w.names[w.rng.Intn(len(w.names))]
	if w.Paused(name) {
		return
	}
	w.ref++
	w.refs[w.ref] = c
	s := w.seats[name]
	if c.state == "waiting" {
		ask := Ask{Ref: w.ref, Key: c.key, Body: c.body, RequestID: c.id, From: c.home, Retention: w.retention, Deadline: c.deadline}
		w.Submit(name, s.collect(w.Now, s.Ask(w.Now, ask)))
		return
	}
	finish := Finish{
		Ref: w.ref, Key: c.key, RequestID: c.id, From: c.home, Released: c.state == "released" || c.notRun,
		Status: 200, Answer: make([]byte, w.rng.Intn(MaxAnswerBytes)), Kept: w.rng.Intn(2) == 0,
	}
	w.Submit(name, s.collect(w.Now, s.Finish(w.Now, finish)))
}

// route delivers answers to the homes; some are lost on the way.
func (w *world) route(out Output) {
	for _, event := range out.Events {
		if event == TookOver {
			w.takeovers++
		}
	}
	for _, a := range out.Answers {
		w.verdicts[a.Verdict]++
		if c := w.refs[a.Ref]; w.rng.Intn(10) != 0 && a.Verdict == Granted && c.state == "waiting" && !w.Now.After(c.deadline) {
			w.send(c)
		}
		delete(w.refs, a.Ref)
	}
	for _, a := range out.Acks {
		c := w.refs[a.Ref]
		if a.Result == NoClaim {
			c.noClaim++
		}
		if w.rng.Intn(10) != 0 && (a.Result == Stored || c.noClaim > 20) && (c.state == "done" || c.state == "released") {
			c.state = "ended"
		}
		delete(w.refs, a.Ref)
	}
}

// send is the first byte to the endpoint: the ledger must have no other run of the key.
func (w *world) send(c *call) {
	if last := w.runs[c.keyName]; last != nil && !last.released && w.Now.Sub(last.at) < w.retention {
		w.fail("key %d ran for %s and again for %s", c.keyName, last.call.id, c.id)
	}
	w.sent++
	w.runs[c.keyName] = &run{call: c, at: w.Now}
	c.state, c.endAt = "running", w.Now.Add(time.Duration(w.rng.Intn(2000))*time.Millisecond)
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}
