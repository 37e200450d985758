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
	Start(entry *request.Entry)
}

// Host carries out the decisions of a Receiver: it answers the calls of leaving
// instances and takes their requests over. It has no goroutine and no clock of
// its own. It is safe for concurrent use.
type Host struct {
	registry *request.Registry
	starter  Starter

	mu       sync.Mutex // guards receiver
	receiver *Receiver
}

// NewHost returns the receiving side of the instance with this incarnation.
func NewHost(
	self string, cfg ReceiverConfig, registry *request.Registry, starter Starter, check invariant.Checker,
) *Host {
	return &Host{registry: registry, starter: starter, receiver: NewReceiver(self, cfg, check)}
}

// Handle answers a handover call of the instance with incarnation from. It
// returns nil for other calls.
func (h *Host) Handle(now time.Time, from string, call *wire.Call) *wire.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch body := call.GetBody().(type) {
	case *wire.Call_HandoverCopy:
		return h.finish(h.receiver.Copy(now, body.HandoverCopy))
	case *wire.Call_HandoverEvents:
		return h.finish(h.receiver.Events(now, from, body.HandoverEvents))
	case *wire.Call_HandoverRelease:
		return h.finish(h.receiver.Release(now, body.HandoverRelease))
	case *wire.Call_HandoverDrop:
		h.receiver.Drop(from, body.HandoverDrop)
		return answerOf(CopyTaken)
	default:
		return nil
	}
}

func (h *Host) finish(result CopyError, actions []Action) *wire.Answer {
	h.perform(actions)
	return answerOf(result)
}

// Announced tells which successor a leaving instance named last.
func (h *Host) Announced(now time.Time, home, successor string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver.Announced(now, home, successor)
}

// HomeDead takes over the copies of an instance whose heartbeats stopped.
func (h *Host) HomeDead(now time.Time, home string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.perform(h.receiver.HomeDead(now, home))
}

// SessionBroken tells that the session with an instance broke.
func (h *Host) SessionBroken(now time.Time, home string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver.SessionBroken(now, home)
}

// SelfLeaving refuses new copies, because this instance is leaving itself.
func (h *Host) SelfLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver.SelfLeaving()
}

// Tick lets time pass; once a second is enough.
func (h *Host) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.perform(h.receiver.Tick(now))
}

// Holds reports whether the request has a copy here that was not taken over
// yet. A caller who re-attaches for it should wait.
func (h *Host) Holds(id request.ID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.receiver.Holds(id.String())
}

// perform takes requests over. The caller holds mu.
func (h *Host) perform(actions []Action) {
	for _, action := range actions {
		takeOver, ok := action.(TakeOver)
		if !ok {
			continue
		}
		entry, err := h.registry.Adopt(h.receiver.now, takeOver.State)
		if err != nil || takeOver.State.GetFinished() {
			continue
		}
		h.starter.Start(entry)
	}
}
