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

// receiveHeartbeat runs on the datagram loop. A full queue drops the heartbeat,
// since the next one follows and the loop must not block.
func (i *Instance) receiveHeartbeat(beat *wire.Heartbeat) {
	i.clock.Observe(timeline.Stamp{WallMs: beat.GetWallMs(), Logical: beat.GetLogical()})
	select {
	case i.hub.events <- control.HeartbeatReceived{Beat: beat}:
	default:
	}
}

// publish gives a view to the traffic goroutines.
func (i *Instance) publish(view *control.View) {
	before := i.view.Swap(view)
	i.recordPreset(before, view)
	i.policy.update(before, view)
	if before.Catalog != view.Catalog {
		i.quotas.follow(view)
	}
	i.gateway.SetReady(view.Catalog != nil && len(view.Fleet.Endpoints) > 0)
	i.home.SetPeers(time.Now(), i.peersOf(view.Fleet))
}

// recordPreset puts a change of the preset in force on the timeline.
func (i *Instance) recordPreset(before, view *control.View) {
	if view.Catalog == nil || before.Catalog == view.Catalog {
		return
	}
	preset := view.Catalog.InForce().Name
	if before.Catalog != nil && before.Catalog.InForce().Name == preset {
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

// distanceClass orders data centres: 0 for the own one, then by latency in ms.
func (i *Instance) distanceClass(datacentre string) int {
	if datacentre == i.cfg.Datacentre {
		return 0
	}
	return 1 + int(i.cfg.DistanceTo(datacentre)/time.Millisecond)
}

// fleetChanged passes changes of the fleet to the parts that act on them.
func (i *Instance) fleetChanged(effect control.Effect) {
	now := time.Now()
	switch e := effect.(type) {
	case control.EndpointLeaving:
		i.policy.leave(e.Endpoint)
		i.runner.EndpointLeaving(endpointKey(e.Endpoint), endOrSoon(now, e.Endpoint.EndsAt))
	case control.MemberLeaving:
		i.host.SuccessorAnnounced(now, e.Incarnation, e.Successor)
		i.home.PeerLost(now, e.Incarnation)
	case control.MemberDead:
		i.host.SourceDead(now, e.Incarnation)
		i.home.PeerLost(now, e.Incarnation)
	case control.SelfLeaving:
		i.Reclaim(e.Remaining)
	}
}

// assumedNotice is the time that a leaving endpoint is given when its end is not known.
const assumedNotice = 10 * time.Second

func endOrSoon(now, end time.Time) time.Time {
	if end.IsZero() {
		return now.Add(assumedNotice)
	}
	return end
}

// endpointKey names one incarnation of an endpoint, since leaving is final for
// the incarnation and not for the id.
func endpointKey(e *membership.Endpoint) string {
	return e.ID + "@" + e.Incarnation
}

func leavesCall(notice membership.Notice) *wire.Call {
	return &wire.Call{Body: &wire.Call_Leaves{Leaves: &wire.Leaves{Leaves: []*wire.Leave{{
		Id: notice.ID, Incarnation: notice.Incarnation, Successor: notice.Successor, NoticeMs: notice.Left.Milliseconds(),
	}}}}}
}

// broadcastTimeout bounds a call that tells a peer something; datagrams repeat it.
const broadcastTimeout = 2 * time.Second

// broadcast tells all other live members of this data centre. The other data
// centres learn it from datagrams; calls to all of them would grow with the
// square of the fleet in a reclaim wave.
func (i *Instance) broadcast(ctx context.Context, call *wire.Call) {
	view := i.view.Load().Fleet
	for _, m := range view.LiveIn(i.cfg.Datacentre) {
		if m != view.Self && m.PeerAddress != "" {
			go i.tell(ctx, m.Incarnation, call)
		}
	}
}

// tell makes a call whose answer does not matter.
func (i *Instance) tell(ctx context.Context, incarnation string, call *wire.Call) {
	bounded, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	if _, err := i.callPeer(bounded, incarnation, call); err != nil {
		i.lg.Debug("peer was not told", "step", "broadcast", "peer", incarnation, "error", err.Error())
	}
}
