package handover

import (
	"sync"
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// Starter runs requests that were taken over. backend.Runner implements it.
type Starter interface {
	// Start starts an adopted request that is not finished.
	Start(entry *request.Entry)
}

// Target answers the handover calls of leaving instances with a TargetMachine and
// takes their requests over into a registry. It starts no goroutine and reads no
// clock: the instance calls Tick about once a second. It is safe for concurrent use.
type Target struct {
	registry *request.Registry
	starter  Starter

	mu      sync.Mutex // guards machine
	machine *TargetMachine
}

// NewTarget returns the Target of the instance with incarnation self.
func NewTarget(
	self string, cfg TargetConfig, registry *request.Registry, starter Starter, check invariant.Checker,
) *Target {
	return &Target{registry: registry, starter: starter, machine: NewTargetMachine(self, cfg, check)}
}

// Handle processes a handover call of the instance with incarnation from and
// returns the answer. It returns nil for other calls.
func (t *Target) Handle(now time.Time, from string, call *wire.Call) *wire.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch body := call.GetBody().(type) {
	case *wire.Call_HandoverCopy:
		return t.respond(t.machine.AddCopy(now, body.HandoverCopy))
	case *wire.Call_HandoverEvents:
		return t.respond(t.machine.AppendEvents(now, from, body.HandoverEvents))
	case *wire.Call_HandoverRelease:
		return t.respond(t.machine.Release(now, body.HandoverRelease))
	case *wire.Call_HandoverDrop:
		t.machine.Drop(from, body.HandoverDrop)
		return copyAnswer(CopyAccepted)
	default:
		return nil
	}
}

// respond executes the actions of a call and returns the answer. The caller holds mu.
func (t *Target) respond(result CopyResult, actions []Action) *wire.Answer {
	t.execute(actions)
	return copyAnswer(result)
}

// SuccessorAnnounced reports the successor that a leaving instance announced last,
// "" for none.
func (t *Target) SuccessorAnnounced(now time.Time, source, successor string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machine.SuccessorAnnounced(now, source, successor)
}

// SourceDead takes over the copies of an instance whose heartbeats stopped. They are
// removed instead if it announced another successor, or none, last.
func (t *Target) SourceDead(now time.Time, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.execute(t.machine.SourceDead(now, source))
}

// SessionBroken reports that the session with an instance broke. Its copies are
// taken over after TakeOverDelay unless a message from it arrives before.
func (t *Target) SessionBroken(now time.Time, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machine.SessionBroken(now, source)
}

// SelfLeaving makes the target refuse new copies, because this instance is leaving.
func (t *Target) SelfLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machine.SelfLeaving()
}

// Tick takes over the copies of instances whose session stayed broken, and expires
// old state. One call per second is enough.
func (t *Target) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.execute(t.machine.Tick(now))
}

// HasCopy reports whether the request has a copy here that was not taken over
// yet. A caller who re-attaches to the request should wait.
func (t *Target) HasCopy(id request.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.HasCopy(id.String())
}

// execute adopts the requests that are taken over and starts the unfinished ones.
// The caller holds mu.
func (t *Target) execute(actions []Action) {
	for _, action := range actions {
		takeOver, ok := action.(TakeOver)
		if !ok {
			continue
		}
		entry, err := t.registry.Adopt(t.machine.now, takeOver.State)
		if err != nil || takeOver.State.GetFinished() {
			continue
		}
		t.starter.Start(entry)
	}
}
