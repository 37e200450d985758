package knapweedhoist

import (
	"context"
	"time"

	"knapweedhoist/control"
	"knapweedhoist/handover"
	"knapweedhoist/membership"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// receiveHeartbeat is called on the datagram loop, which must not block. It
// drops the heartbeat if the event queue is full, since the next one follows.
func (i *Instance) receiveHeartbeat(beat *wire.Heartbeat) {
	i.clock.Observe(timeline.Stamp{WallMs: beat.GetWallMs(), Logical: beat.GetLogical()})
	select {
	case i.hub.events <- control.HeartbeatReceived{Heartbeat: beat}:
	default:
	}
}

// publish makes a view visible to the goroutines that serve requests. It runs
// on the control goroutine.
func (i *Instance) publish(view *control.View) {
	previous := i.view.Swap(view)
	i.recordPreset(previous, view)
	i.policy.update(previous, view)
	if previous.Catalog != view.Catalog {
		i.quotas.applyConfig(view)
	}
	i.gateway.SetReady(view.Catalog != nil && len(view.Fleet.Endpoints) > 0)
	i.handoverSource.SetPeers(time.Now(), i.peersOf(view.Fleet))
}

// recordPreset records a change of the preset in force on the timeline.
func (i *Instance) recordPreset(previous, view *control.View) {
	if view.Catalog == nil || previous.Catalog == view.Catalog {
		return
	}
	preset := view.Catalog.InForce().Name
	if previous.Catalog != nil && previous.Catalog.InForce().Name == preset {
		return
	}
	i.ring.Record(timeline.Event{
		Kind: timeline.KindPreset, Preset: preset, Revision: view.Catalog.Revision(), Step: "preset/in_force",
	})
}

// peersOf returns the live peers as candidates for a handover.
func (i *Instance) peersOf(view *membership.View) []handover.Peer {
	var peers []handover.Peer
	for _, m := range view.Live() {
		if m == view.Self || m.PeerAddress == "" {
			continue
		}
		peers = append(peers, handover.Peer{
			Incarnation: m.Incarnation, Datacentre: m.Datacentre, Distance: i.distanceClass(m.Datacentre),
		})
	}
	return peers
}

// distanceClass returns 0 for this instance's data centre, and 1 plus the one-way
// latency in ms for another one.
func (i *Instance) distanceClass(datacentre string) int {
	if datacentre == i.cfg.Datacentre {
		return 0
	}
	return 1 + int(i.cfg.DistanceTo(datacentre)/time.Millisecond)
}

// applyFleetEffect applies an effect of the membership to the routing, the
// running attempts and the handover.
func (i *Instance) applyFleetEffect(effect control.Effect) {
	now := time.Now()
	switch e := effect.(type) {
	case control.EndpointLeaving:
		i.policy.markLeaving(e.Endpoint)
		i.runner.EndpointLeaving(endpointKey(e.Endpoint), endOrAssumed(now, e.Endpoint.EndsAt))
	case control.MemberLeaving:
		i.handoverTarget.SuccessorAnnounced(now, e.Incarnation, e.Successor)
		i.handoverSource.PeerLost(now, e.Incarnation)
	case control.MemberDead:
		i.handoverTarget.SourceDead(now, e.Incarnation)
		i.handoverSource.PeerLost(now, e.Incarnation)
	case control.SelfLeaving:
		i.Reclaim(e.Remaining)
	}
}

// assumedNotice is the time until the end of a leaving endpoint, or of this
// instance, when the notice states none.
const assumedNotice = 10 * time.Second

func endOrAssumed(now, end time.Time) time.Time {
	if end.IsZero() {
		return now.Add(assumedNotice)
	}
	return end
}

// endpointKey returns "ID@incarnation". The key contains the incarnation since
// leaving is final for an incarnation and not for the ID.
func endpointKey(e *membership.Endpoint) string {
	return e.ID + "@" + e.Incarnation
}

func leavesCall(notice membership.Notice) *wire.Call {
	return &wire.Call{Body: &wire.Call_Leaves{Leaves: &wire.Leaves{Leaves: []*wire.Leave{{
		Id: notice.ID, Incarnation: notice.Incarnation, Successor: notice.Successor, NoticeMs: notice.Remaining.Milliseconds(),
	}}}}}
}

// broadcastTimeout limits a notification to a peer. A lost one is not repeated,
// because the peer also gets its content from heartbeats or from its own reads. It
// also limits the fetch and the read of a configuration document.
const broadcastTimeout = 2 * time.Second

// broadcast sends a call to all other live members of this data centre. The
// other data centres get leaves from heartbeats and list changes from their own
// reads, since calls to all of them would grow with the square of the fleet size
// in a reclaim wave.
func (i *Instance) broadcast(ctx context.Context, call *wire.Call) {
	view := i.view.Load().Fleet
	for _, m := range view.LiveIn(i.cfg.Datacentre) {
		if m != view.Self && m.PeerAddress != "" {
			go i.notifyPeer(ctx, m.Incarnation, call)
		}
	}
}

// notifyPeer makes a call and ignores its answer; an error is only logged.
func (i *Instance) notifyPeer(ctx context.Context, incarnation string, call *wire.Call) {
	bounded, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	if _, err := i.callPeer(bounded, incarnation, call); err != nil {
		i.lg.Debug("notification of the peer failed", "step", "broadcast", "peer", incarnation, "error", err.Error())
	}
}
