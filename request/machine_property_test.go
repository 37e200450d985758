package request

import (
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"
)

// fault is a defect of the caller of the lifecycle.
type fault string

const (
	noFault fault = ""
	// dropAttempt: events lose their attempt number and count for the live attempt.
	dropAttempt fault = "drop the attempt number"
	// loseEvent: some events never arrive.
	loseEvent fault = "lose an event"
	// sendTwice: the send marker is not respected.
	sendTwice fault = "send twice"
	// claimNotRun: every failure is reported as not run.
	claimNotRun fault = "report not_run always"
)

// op is one random step: what to do, and with which of the attempts.
type op struct {
	kind string
	pick int
}

// kinds are weighted so that attempts live long enough to give events.
var kinds = []string{
	"begin", "hedge", "send", "send", "send", "end", "finish",
	"token", "token", "token", "token", "token", "token", "token", "token",
}

var ops = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	return op{kind: rapid.SampledFrom(kinds).Draw(t, "kind"), pick: rapid.IntRange(0, 7).Draw(t, "pick")}
}), 30, 90)

// try is the driver's view of an attempt.
type try struct {
	number, next  int
	sent, refused bool
	ended         bool
}

// driver plays a backend that makes attempts at endpoints, with an optional defect.
type driver struct {
	entry *Entry
	fault fault
	tries []*try
	// sends counts first bytes that really went to an endpoint.
	sends int
}

func (d *driver) apply(o op) {
	switch o.kind {
	case "begin":
		d.begin((*Entry).Begin)
	case "hedge":
		d.begin((*Entry).BeginHedge)
	case "send":
		d.send(o.pick)
	case "token":
		d.token(o.pick)
	case "end":
		d.end(o.pick)
	case "finish":
		if o.pick == 7 {
			d.finish()
		}
	}
}

func (d *driver) begin(start func(*Entry) (int, []string, error)) {
	if !d.entry.MaySend() && d.fault != sendTwice {
		return
	}
	if number, resume, err := start(d.entry); err == nil {
		d.tries = append(d.tries, &try{number: number, next: len(resume)})
	}
}

func (d *driver) pick(i int) *try {
	if len(d.tries) == 0 {
		return nil
	}
	return d.tries[len(d.tries)-1-i%len(d.tries)]
}

func (d *driver) send(i int) {
	t := d.pick(i)
	if t == nil || t.sent || t.ended {
		return
	}
	if d.entry.MarkSent(t.number) == nil {
		t.sent = true
		d.sends++
	}
}

func (d *driver) token(i int) {
	t := d.pick(i)
	if t == nil || !t.sent || t.refused {
		return
	}
	number := t.number
	if d.fault == dropAttempt {
		number = d.entry.Attempts()
	}
	if d.fault != loseEvent || i%3 != 1 {
		_ = d.entry.Token(number, t.next, "x")
	}
	t.next++
}

func (d *driver) end(i int) {
	t := d.pick(i)
	if t == nil || t.ended {
		return
	}
	t.ended = true
	result := ResultBroken
	if i%2 == 0 && d.entry.spec.Kind == "plain" {
		t.refused = true
		result = ResultRefused
	}
	d.entry.End(t.number, result)
}

func (d *driver) finish() {
	outcome := d.entry.Unfinished()
	if d.fault == claimNotRun {
		outcome = OutcomeNotRun
	}
	_ = d.entry.Finish(start, Finish{Outcome: outcome, Step: "test"})
}

// play runs the steps and returns the entry, the driver and the violations.
func play(steps []op, spec func(*Registry) Spec, f fault) (*driver, map[string]int64) {
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

// Guards against events with gaps or repeats, a wrong not_run, and a second
// send of a call that must not be repeated, in any order of steps.
func TestLifecycleHoldsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := rapid.SampledFrom([]func(*Registry) Spec{modelSpec, plainSpec}).Draw(t, "spec")
		d, violations := play(ops.Draw(t, "steps"), spec, noFault)
		if len(violations) > 0 {
			t.Fatalf("violations: %v", violations)
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
		t.Fatalf("sent %d times", d.sends)
	}
	finish := d.entry.Result()
	if finish == nil || finish.Outcome != OutcomeNotRun {
		return
	}
	for _, attempt := range d.tries {
		if attempt.sent && !attempt.refused {
			t.Fatalf("not_run, but attempt %d was sent", attempt.number)
		}
	}
}

// Guards against assertions that cannot fail: each defect of a caller must be
// reported under the right name.
func TestPlantedFaultsAreReported(t *testing.T) {
	const seeds = 300
	for _, c := range []struct {
		fault fault
		spec  func(*Registry) Spec
		name  string
	}{
		{dropAttempt, modelSpec, InvariantRepeat},
		{loseEvent, modelSpec, InvariantGap},
		{sendTwice, plainSpec, InvariantSentTwice},
		{claimNotRun, modelSpec, InvariantNotRun},
	} {
		found := make(map[string]int64)
		for seed := range seeds {
			_, violations := play(ops.Example(seed), c.spec, c.fault)
			for name, n := range violations {
				found[name] += n
			}
		}
		if found[c.name] == 0 {
			t.Errorf("%s: %s was not reported in %d cases", c.fault, c.name, seeds)
		}
	}
}

// Guards against an event after the finish that goes unnoticed: an attempt that
// wrongly stays live is reported.
func TestEventAfterFinishIsReported(t *testing.T) {
	checks := newReporter()
	registry := NewRegistry(incarnation, checks, Config{})
	m := NewMachine(modelSpec(registry), checks)
	_ = m.Admit()
	number, _ := m.Begin()
	_ = m.MarkSent(number)
	_ = m.Finish(start, Finish{Outcome: OutcomeUnknown, Step: "test"})
	m.open[0].live = true
	if err := m.Token(number, 0, "x"); !errors.Is(err, ErrFinished) {
		t.Fatalf("token after the finish: %v", err)
	}
	if checks.Counts()[InvariantAfterFinish] != 1 {
		t.Fatalf("violations: %v", checks.Counts())
	}
}
