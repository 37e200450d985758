package request

import (
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"
)

// fault is a defect that the driver simulates in the caller of an Entry.
type fault string

const (
	noFault fault = ""
	// dropAttemptNumber reports each token under the number of the latest attempt.
	dropAttemptNumber fault = "drop the attempt number"
	// loseEvent skips some tokens.
	loseEvent fault = "lose an event"
	// sendTwice starts attempts without checking Entry.MaySend.
	sendTwice fault = "send twice"
	// alwaysNotRun finishes every request with OutcomeNotRun.
	alwaysNotRun fault = "always report not_run"
)

// op is one random step of the driver: its kind, and the attempt that it concerns.
type op struct {
	kind string
	// pick selects the attempt; see driver.attemptAt.
	pick int
}

// opKinds lists kinds more than once to weight them, so that attempts last long
// enough to produce events.
var opKinds = []string{
	"begin", "hedge", "send", "send", "send", "end", "finish",
	"token", "token", "token", "token", "token", "token", "token", "token",
}

var opSequences = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	return op{kind: rapid.SampledFrom(opKinds).Draw(t, "kind"), pick: rapid.IntRange(0, 7).Draw(t, "pick")}
}), 30, 90)

// attemptState is the state of an attempt as the driver knows it.
type attemptState struct {
	number, nextIndex int
	sent, refused     bool
	ended             bool
}

// driver simulates a backend that makes attempts at endpoints, with an optional
// fault.
type driver struct {
	entry    *Entry
	fault    fault
	attempts []*attemptState
	// sends counts the attempts whose first byte was sent to an endpoint.
	sends int
}

func (d *driver) apply(o op) {
	switch o.kind {
	case "begin":
		d.begin((*Entry).BeginAttempt)
	case "hedge":
		d.begin((*Entry).BeginHedge)
	case "send":
		d.send(o.pick)
	case "token":
		d.token(o.pick)
	case "end":
		d.end(o.pick)
	case "finish":
		if o.pick == 7 { // one of 8 values, so that most attempts last longer; see opKinds
			d.finish()
		}
	}
}

func (d *driver) begin(start func(*Entry) (int, []string, error)) {
	if !d.entry.MaySend() && d.fault != sendTwice {
		return
	}
	if number, resume, err := start(d.entry); err == nil {
		d.attempts = append(d.attempts, &attemptState{number: number, nextIndex: len(resume)})
	}
}

// attemptAt returns the attempt i places before the newest one, modulo the number
// of attempts, or nil without attempts.
func (d *driver) attemptAt(i int) *attemptState {
	if len(d.attempts) == 0 {
		return nil
	}
	return d.attempts[len(d.attempts)-1-i%len(d.attempts)]
}

func (d *driver) send(i int) {
	a := d.attemptAt(i)
	if a == nil || a.sent || a.ended {
		return
	}
	if d.entry.MarkSent(a.number) == nil {
		a.sent = true
		d.sends++
	}
}

func (d *driver) token(i int) {
	a := d.attemptAt(i)
	if a == nil || !a.sent || a.refused {
		return
	}
	number := a.number
	if d.fault == dropAttemptNumber {
		number = d.entry.LastAttempt()
	}
	if d.fault != loseEvent || i%3 != 1 {
		_ = d.entry.AppendToken(number, a.nextIndex, "x")
	}
	a.nextIndex++
}

func (d *driver) end(i int) {
	a := d.attemptAt(i)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	result := ResultBroken
	if i%2 == 0 && d.entry.spec.Kind == "plain" {
		a.refused = true
		result = ResultRefused
	}
	d.entry.EndAttempt(a.number, result)
}

func (d *driver) finish() {
	outcome := d.entry.OutcomeIfEnded()
	if d.fault == alwaysNotRun {
		outcome = OutcomeNotRun
	}
	_ = d.entry.Finish(start, Finish{Outcome: outcome, Step: "test"})
}

// runOps applies the steps to a new request. It returns the driver and the number
// of violations by invariant.
func runOps(steps []op, spec func(*Registry) Spec, f fault) (*driver, map[string]int64) {
	checks := newReporter()
	registry := NewRegistry(incarnation, checks, Config{})
	entry, err := registry.Create(start, spec(registry))
	if err != nil {
		panic(err)
	}
	if err := entry.Admit(); err != nil {
		panic(err)
	}
	d := &driver{entry: entry, fault: f}
	for _, step := range steps {
		d.apply(step)
	}
	return d, checks.Counts()
}

// Guards against gaps or repeats in the events, not_run for a request that may
// have run, and a second send of a call that must not be repeated, in any order
// of steps.
func TestLifecycleHoldsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := rapid.SampledFrom([]func(*Registry) Spec{modelSpec, plainSpec}).Draw(t, "spec")
		d, violations := runOps(opSequences.Draw(t, "steps"), spec, noFault)
		if len(violations) > 0 {
			t.Fatalf("violations without a fault: %v", violations)
		}
		checkEvents(t, d.entry)
		checkOutcome(t, d)
	})
}

func checkEvents(t *rapid.T, entry *Entry) {
	reader, err := entry.Subscribe(0)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	next := uint64(1)
	for {
		events, err := reader.Next(make([]Event, 0, 3))
		for _, event := range events {
			if event.ID != next {
				t.Fatalf("event %d, want %d", event.ID, next)
			}
			next++
		}
		if errors.Is(err, io.EOF) || len(events) == 0 {
			return
		}
	}
}

func checkOutcome(t *rapid.T, d *driver) {
	if !d.entry.spec.Repeatable() && d.sends > 1 {
		t.Fatalf("call that must not be repeated was sent %d times", d.sends)
	}
	finish := d.entry.Result()
	if finish == nil || finish.Outcome != OutcomeNotRun {
		return
	}
	for _, attempt := range d.attempts {
		if attempt.sent && !attempt.refused {
			t.Fatalf("outcome is not_run, but attempt %d was sent", attempt.number)
		}
	}
}

// Guards against invariant checks that never fail: each fault must be reported as
// a violation of the invariant that it breaks.
func TestPlantedFaultsAreReported(t *testing.T) {
	const seeds = 300
	for _, c := range []struct {
		fault     fault
		spec      func(*Registry) Spec
		invariant string
	}{
		{dropAttemptNumber, modelSpec, InvariantEventRepeat},
		{loseEvent, modelSpec, InvariantEventGap},
		{sendTwice, plainSpec, InvariantSentTwice},
		{alwaysNotRun, modelSpec, InvariantNotRunAfterSend},
	} {
		found := make(map[string]int64)
		for seed := range seeds {
			_, violations := runOps(opSequences.Example(seed), c.spec, c.fault)
			for name, n := range violations {
				found[name] += n
			}
		}
		if found[c.invariant] == 0 {
			t.Errorf("%s: %s was not reported in %d cases", c.fault, c.invariant, seeds)
		}
	}
}

// Guards against an event after the finish that is not reported. The test keeps an
// attempt live after the finish.
func TestEventAfterFinishIsReported(t *testing.T) {
	checks := newReporter()
	registry := NewRegistry(incarnation, checks, Config{})
	m := NewMachine(modelSpec(registry), checks)
	_ = m.Admit()
	number, _ := m.BeginAttempt()
	_ = m.MarkSent(number)
	_ = m.Finish(start, Finish{Outcome: OutcomeUnknown, Step: "test"})
	m.openAttempts[0].live = true
	if err := m.AppendToken(number, 0, "x"); !errors.Is(err, ErrFinished) {
		t.Fatalf("token after the finish: error %v, want ErrFinished", err)
	}
	if checks.Counts()[InvariantAfterFinish] != 1 {
		t.Fatalf("violations: %v", checks.Counts())
	}
}
