package claim

import (
	"fmt"
	"math/rand"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// call is the home instance's state of one non-idempotent call.
type call struct {
	id, home      string
	key, body     Hash
	keyNumber     int
	deadline      time.Time
	nextSendAt    time.Time
	state         string // waiting, running, done, released, ended
	endAt         time.Time
	releasedAtEnd bool // the endpoint will report that the call did not run
	noClaimAcks   int
}

// execution records a call that was sent to an endpoint.
type execution struct {
	call     *call
	at       time.Time
	released bool
}

// simulation runs several instances of one shard and the homes of calls, and records which calls were sent. failures are
// the violations found: keys whose call was sent twice, and violated invariants.
type simulation struct {
	*testutil.Driver
	rng                   *rand.Rand
	names                 []string
	replicas              map[string]*replica
	checker               *testutil.Checker
	calls                 []*call
	callsByRef            map[uint64]*call
	executions            map[int]*execution
	lastRef               uint64
	callCount, steps      int
	retention             time.Duration
	sent, takeovers, ends int
	verdicts              map[Verdict]int
	failures              []string
	inject                func(*replica)
}

// replica adapts a Shard to the driver. rewriteDone and rewriteOutput inject defects.
type replica struct {
	*Shard
	s             *simulation
	name          string
	rewriteDone   func(now time.Time, d objectapi.CallResult) objectapi.CallResult
	rewriteOutput func(now time.Time, out *Output)
}

func (r *replica) Tick(now time.Time) []objectapi.Call { return r.handleOutput(now, r.Shard.Tick(now)) }

func (r *replica) Done(now time.Time, d objectapi.CallResult) []objectapi.Call {
	if r.rewriteDone != nil {
		d = r.rewriteDone(now, d)
	}
	return r.handleOutput(now, r.Shard.Done(now, d))
}

// handleOutput applies the injected defects of r, delivers the answers of out and returns its calls.
func (r *replica) handleOutput(now time.Time, out Output) []objectapi.Call {
	if r.rewriteOutput != nil {
		r.rewriteOutput(now, &out)
	}
	r.s.deliverAnswers(out)
	return out.Calls
}

func newSimulation(seed int64, n int, retention time.Duration, faults testutil.Faults, inject func(*replica)) *simulation {
	rng := rand.New(rand.NewSource(seed))
	s := &simulation{
		Driver: testutil.NewDriver(time.UnixMilli(1_800_000_000_000), testutil.NewStore(rng, faults)),
		rng:    rng, replicas: make(map[string]*replica), checker: testutil.NewChecker(), callsByRef: make(map[uint64]*call),
		executions: make(map[int]*execution), retention: retention, verdicts: make(map[Verdict]int), inject: inject,
	}
	for i := range n {
		s.names = append(s.names, fmt.Sprintf("i%d", i))
		s.start(s.names[i])
	}
	return s
}

// start starts a new incarnation of an instance. The calls of the former one end without a Finish.
func (s *simulation) start(name string) {
	if old, ok := s.replicas[name]; ok {
		for _, c := range s.calls {
			if c.home == old.cfg.Incarnation {
				c.state = "ended"
			}
		}
	}
	cfg := Config{
		Incarnation: fmt.Sprintf("%s.%d", name, s.steps), Rand: s.rng, Checker: s.checker, ExpiryMargin: 5 * time.Second,
	}
	r := &replica{Shard: NewShard(discardLog, cfg), s: s, name: name}
	if s.inject != nil {
		s.inject(r)
	}
	s.replicas[name] = r
	s.Add(name, r)
}

// run makes random steps with faults and calls, then adds the violated invariants to the failures.
func (s *simulation) run(steps int) {
	s.setOwner(s.names[0], true)
	for range steps {
		s.steps++
		s.Step(time.Duration(1+s.rng.Intn(100)) * time.Millisecond)
		s.injectFault()
		s.addCall()
		s.advanceCalls()
	}
	for name, v := range s.checker.First {
		s.fail("invariant %s: %s", name, v.Detail)
	}
}

func (s *simulation) setOwner(name string, owner bool) {
	if s.Paused(name) {
		return
	}
	r := s.replicas[name]
	s.Submit(name, r.handleOutput(s.Now, r.SetOwner(s.Now, owner)))
}

// injectFault injects at most one random fault: a change of ownership, also to two owners at once, a pause, an outage or
// its end, or a restart.
func (s *simulation) injectFault() {
	name := s.names[s.rng.Intn(len(s.names))]
	switch draw := s.rng.Intn(1000); {
	case draw < 15:
		s.setOwner(name, true)
	case draw < 25:
		s.setOwner(name, false)
	case draw < 32:
		s.Pause(name, time.Duration(s.rng.Intn(8000))*time.Millisecond)
	case draw < 34:
		s.Store.SetOutage(true)
	case draw < 60:
		s.Store.SetOutage(false)
	case draw < 64:
		s.start(name)
	}
}

// addCall adds a call on one of a few keys, so that calls contend for most keys.
func (s *simulation) addCall() {
	if s.rng.Intn(4) != 0 {
		return
	}
	home := s.replicas[s.names[s.rng.Intn(len(s.names))]].cfg.Incarnation
	s.callCount++
	key := s.rng.Intn(4 + s.steps/50)
	c := &call{
		id: fmt.Sprintf("%s-%d", home, s.callCount), home: home, keyNumber: key, state: "waiting",
		key: KeyHash("team", "reservas", fmt.Sprint(key)), body: BodyHash([]byte{byte(s.rng.Intn(20) / 19)}),
		deadline: s.Now.Add(time.Duration(500+s.rng.Intn(8000)) * time.Millisecond), releasedAtEnd: s.rng.Intn(3) == 0,
	}
	s.calls = append(s.calls, c)
}

// advanceCalls advances the calls that have not ended.
func (s *simulation) advanceCalls() {
	open := s.calls[:0]
	for _, c := range s.calls {
		if c.state != "ended" {
			s.advanceCall(c)
			open = append(open, c)
		}
	}
	s.calls = open
}

// advanceCall simulates the home of a call: it expires or ends the call, and sends its claim request or its Finish to a
// random instance.
func (s *simulation) advanceCall(c *call) {
	if c.state == "waiting" && s.Now.After(c.deadline) {
		c.state, c.nextSendAt = "released", s.Now // the caller gets not_run; the call is never sent
	}
	if c.state == "running" && s.Now.After(c.endAt) {
		c.state, c.nextSendAt = "done", s.Now
		s.executions[c.keyNumber].released = c.releasedAtEnd
		s.ends++
	}
	if s.Now.Before(c.nextSendAt) || c.state == "running" {
		return
	}
	c.nextSendAt = s.Now.Add(time.Duration(50+s.rng.Intn(1000)) * time.Millisecond)
	name := s.names[s.rng.Intn(len(s.names))]
	if s.Paused(name) {
		return
	}
	s.lastRef++
	s.callsByRef[s.lastRef] = c
	r := s.replicas[name]
	if c.state == "waiting" {
		req := Request{Ref: s.lastRef, Key: c.key, Body: c.body, RequestID: c.id, From: c.home, Retention: s.retention, Deadline: c.deadline}
		s.Submit(name, r.handleOutput(s.Now, r.Claim(s.Now, req)))
		return
	}
	finish := Finish{
		Ref: s.lastRef, Key: c.key, RequestID: c.id, From: c.home, Released: c.state == "released" || c.releasedAtEnd,
		Status: 200, Answer: make([]byte, s.rng.Intn(MaxAnswerBytes)), Kept: s.rng.Intn(2) == 0,
	}
	s.Submit(name, r.handleOutput(s.Now, r.Finish(s.Now, finish)))
}

// deliverAnswers delivers answers and acks to the homes. One in ten is lost.
func (s *simulation) deliverAnswers(out Output) {
	for _, event := range out.Events {
		if event == TookOver {
			s.takeovers++
		}
	}
	for _, a := range out.Answers {
		s.verdicts[a.Verdict]++
		if c := s.callsByRef[a.Ref]; s.rng.Intn(10) != 0 && a.Verdict == Granted && c.state == "waiting" && !s.Now.After(c.deadline) {
			s.send(c)
		}
		delete(s.callsByRef, a.Ref)
	}
	for _, a := range out.Acks {
		c := s.callsByRef[a.Ref]
		if a.Result == NoClaim {
			c.noClaimAcks++
		}
		if s.rng.Intn(10) != 0 && (a.Result == Stored || c.noClaimAcks > 20) && (c.state == "done" || c.state == "released") {
			c.state = "ended"
		}
		delete(s.callsByRef, a.Ref)
	}
}

// send sends the call to its endpoint. It records a failure if another call of the key was sent within the retention
// and was not released.
func (s *simulation) send(c *call) {
	if last := s.executions[c.keyNumber]; last != nil && !last.released && s.Now.Sub(last.at) < s.retention {
		s.fail("key %d: call sent for %s and again for %s", c.keyNumber, last.call.id, c.id)
	}
	s.sent++
	s.executions[c.keyNumber] = &execution{call: c, at: s.Now}
	c.state, c.endAt = "running", s.Now.Add(time.Duration(s.rng.Intn(2000))*time.Millisecond)
}

func (s *simulation) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}
