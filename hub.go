package knapweedhoist

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/control"
	"knapweedhoist/distribution"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// eventQueue bounds the control events that wait; senders block when it is full.
const eventQueue = 1024

// hub runs the control goroutine: it passes events to the Core one at a time
// and carries out the effects. No effect blocks it.
type hub struct {
	instance *Instance
	core     *control.Core
	events   chan control.Event
	// platformDown: the last call had no answer.
	platformDown atomic.Bool

	claims    waiters[claim.Answer]
	acks      waiters[claim.Ack]
	edits     waiters[distribution.Result]
	documents waiters[*wire.ConfigDocument]
	quotas    waiters[*wire.QuotaReply]
	demands   waiters[[]*wire.QuotaDemand]
	// permits are checks of a lease that run between two events.
	permits chan func(now time.Time, core *control.Core)
}

func newHub(instance *Instance, core *control.Core) *hub {
	return &hub{
		instance: instance, core: core, events: make(chan control.Event, eventQueue),
		claims: newWaiters[claim.Answer](), acks: newWaiters[claim.Ack](), edits: newWaiters[distribution.Result](),
		documents: newWaiters[*wire.ConfigDocument](), quotas: newWaiters[*wire.QuotaReply](),
		demands: newWaiters[[]*wire.QuotaDemand](),
		permits: make(chan func(time.Time, *control.Core)),
	}
}

// post gives an event to the control goroutine unless ctx ends first.
func (h *hub) post(ctx context.Context, event control.Event) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

// run is the control goroutine.
func (h *hub) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-h.events:
			h.step(ctx, event)
		case <-ticker.C:
			h.step(ctx, control.Ticked{Stamp: h.instance.clock.Now()})
		case check := <-h.permits:
			check(time.Now(), h.core)
		case <-ctx.Done():
			return
		}
	}
}

func (h *hub) step(ctx context.Context, event control.Event) {
	for _, effect := range h.core.Step(time.Now(), event) {
		h.perform(ctx, effect)
	}
}

func (h *hub) perform(ctx context.Context, effect control.Effect) {
	i := h.instance
	switch e := effect.(type) {
	case control.PlatformCall:
		go h.callPlatform(ctx, e)
	case control.SendHeartbeat:
		_ = i.beats.Send(e.Outgoing.To, e.Outgoing.Beat)
	case control.SendLeaves:
		go i.broadcast(ctx, leavesCall(e.Notice))
	case control.RelayConfig:
		go i.tell(ctx, e.To, &wire.Call{Body: &wire.Call_ConfigRelay{ConfigRelay: e.Relay}})
	case control.RelayRoster:
		go i.broadcast(ctx, &wire.Call{Body: &wire.Call_RosterRelay{RosterRelay: e.Relay}})
	case control.FetchConfig:
		go i.fetchConfig(ctx, e)
	case control.Publish:
		i.publish(e.View)
	case control.ClaimAnswered:
		h.claims.answer(e.Answer.Ref, e.Answer)
	case control.ClaimAcked:
		h.acks.answer(e.Ack.Ref, e.Ack)
	case control.ConfigServed:
		h.documents.answer(e.Ref, e.Document)
	case control.QuotaAnswered:
		h.quotas.answer(e.Ref, e.Reply)
	case control.DemandAnswered:
		h.demands.answer(e.Ref, e.Demands)
	case control.EditDone:
		h.edits.answer(e.Result.Ref, e.Result)
	default:
		i.fleetChanged(effect)
	}
}

// callPlatform makes a call; a call that the end of ctx abandons is reported as unavailable.
func (h *hub) callPlatform(ctx context.Context, call control.PlatformCall) {
	reply, err := h.instance.store.Do(ctx, call.Call.Request)
	h.notePlatform(ctx, err)
	h.post(ctx, control.PlatformDone{
		Component: call.Component, Done: objectapi.Done{ID: call.Call.ID, Reply: reply, Err: err},
	})
}

// notePlatform puts the beginning and the end of a platform outage on the timeline.
func (h *hub) notePlatform(ctx context.Context, err error) {
	down := errors.Is(err, objectapi.ErrUnavailable)
	if ctx.Err() != nil || h.platformDown.Swap(down) == down {
		return
	}
	step := "platform/up"
	if down {
		step = "platform/down"
	}
	h.instance.ring.Record(timeline.Event{Kind: timeline.KindPlatformDown, Step: step})
}
