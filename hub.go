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

// eventQueueCapacity is the number of control events that can be queued. Senders
// block when the queue is full, except for heartbeats, which are dropped.
const eventQueueCapacity = 1024

// hub runs the control goroutine, the only one that uses core: it passes events
// to core one at a time and applies the effects. No effect blocks it.
type hub struct {
	instance *Instance
	core     *control.Core
	events   chan control.Event
	// platformDown is true if the last call to the platform returned
	// objectapi.ErrUnavailable.
	platformDown atomic.Bool

	// The waiters receive the answers of core to the events of other goroutines.
	claimAnswers    waiters[claim.Answer]
	claimAcks       waiters[claim.Ack]
	editResults     waiters[distribution.Result]
	configDocuments waiters[*wire.ConfigDocument]
	quotaReplies    waiters[*wire.QuotaReply]
	quotaDemands    waiters[[]*wire.QuotaDemand]
	// leaseChecks carries functions that check a lease. The control goroutine
	// runs each between two events.
	leaseChecks chan func(now time.Time, core *control.Core)
}

func newHub(instance *Instance, core *control.Core) *hub {
	return &hub{
		instance: instance, core: core, events: make(chan control.Event, eventQueueCapacity),
		claimAnswers: newWaiters[claim.Answer](), claimAcks: newWaiters[claim.Ack](), editResults: newWaiters[distribution.Result](),
		configDocuments: newWaiters[*wire.ConfigDocument](), quotaReplies: newWaiters[*wire.QuotaReply](),
		quotaDemands: newWaiters[[]*wire.QuotaDemand](),
		leaseChecks:  make(chan func(time.Time, *control.Core)),
	}
}

// post queues an event for the control goroutine. It drops the event if ctx
// ends before there is space in the queue.
func (h *hub) post(ctx context.Context, event control.Event) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

// run processes events, ticks and lease checks until ctx ends.
func (h *hub) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-h.events:
			h.process(ctx, event)
		case <-ticker.C:
			h.process(ctx, control.Ticked{Stamp: h.instance.clock.Now()})
		case check := <-h.leaseChecks:
			check(time.Now(), h.core)
		case <-ctx.Done():
			return
		}
	}
}

func (h *hub) process(ctx context.Context, event control.Event) {
	for _, effect := range h.core.Step(time.Now(), event) {
		h.applyEffect(ctx, effect)
	}
}

func (h *hub) applyEffect(ctx context.Context, effect control.Effect) {
	i := h.instance
	switch e := effect.(type) {
	case control.PlatformCall:
		go h.callPlatform(ctx, e)
	case control.SendHeartbeat:
		_ = i.heartbeats.Send(e.Outgoing.To, e.Outgoing.Heartbeat)
	case control.SendLeaves:
		go i.broadcast(ctx, leavesCall(e.Notice))
	case control.RelayConfig:
		go i.notifyPeer(ctx, e.To, &wire.Call{Body: &wire.Call_ConfigRelay{ConfigRelay: e.Relay}})
	case control.RelayRoster:
		go i.broadcast(ctx, &wire.Call{Body: &wire.Call_RosterRelay{RosterRelay: e.Relay}})
	case control.FetchConfig:
		go i.fetchConfig(ctx, e)
	case control.Publish:
		i.publish(e.View)
	case control.ClaimAnswered:
		h.claimAnswers.deliver(e.Answer.Ref, e.Answer)
	case control.ClaimAcked:
		h.claimAcks.deliver(e.Ack.Ref, e.Ack)
	case control.ConfigServed:
		h.configDocuments.deliver(e.Ref, e.Document)
	case control.QuotaAnswered:
		h.quotaReplies.deliver(e.Ref, e.Reply)
	case control.DemandAnswered:
		h.quotaDemands.deliver(e.Ref, e.Demands)
	case control.EditDone:
		h.editResults.deliver(e.Result.Ref, e.Result)
	default:
		i.applyFleetEffect(effect)
	}
}

// callPlatform makes a call of the object API and posts its result.
func (h *hub) callPlatform(ctx context.Context, call control.PlatformCall) {
	reply, err := h.instance.store.Do(ctx, call.Call.Request)
	h.recordPlatformState(ctx, err)
	h.post(ctx, control.PlatformDone{
		Component: call.Component, Done: objectapi.CallResult{ID: call.Call.ID, Reply: reply, Err: err},
	})
}

// recordPlatformState records the start and the end of a platform outage on the
// timeline. It ignores results after the end of ctx, because a call that is
// abandoned then fails with objectapi.ErrUnavailable too.
func (h *hub) recordPlatformState(ctx context.Context, err error) {
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
