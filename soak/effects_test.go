package soak

import (
	"time"

	"knapweedhoist/control"
	"knapweedhoist/membership"
	"knapweedhoist/wire"
)

// broadcastTimeout bounds a call whose answer is not used.
const broadcastTimeout = 2 * time.Second

// applyEffect carries out an effect of the control code the way the root package does.
func (in *instance) applyEffect(effect control.Effect) {
	switch e := effect.(type) {
	case control.PlatformCall:
		in.w.platform.callForControl(in, e)
	case control.SendHeartbeat:
		for _, address := range e.Outgoing.To {
			in.w.net.datagram(in, address, func(to *instance) { to.step(control.HeartbeatReceived{Heartbeat: e.Outgoing.Heartbeat}) })
		}
	case control.SendLeaves:
		in.sendLeaves(e.Notice)
	case control.RelayConfig:
		in.notifyPeer(e.To, func(to *instance) { to.step(control.ConfigRelayed{From: in.incarnation, Relay: e.Relay}) })
	case control.RelayRoster:
		in.broadcast(func(to *instance) { to.step(control.RosterRelayed(e)) })
	case control.FetchConfig:
		in.fetchConfig(e)
	case control.Publish:
		in.publish(e.View)
	case control.EditDone:
		in.w.operators.editDone(in, e.Result)
	case control.ConfigServed:
		in.w.configServed(in, e)
	case control.ClaimAnswered:
		in.answer(in.claims, e.Answer.Ref, e.Answer)
	case control.ClaimAcked:
		in.answer(in.acks, e.Ack.Ref, e.Ack)
	default:
		in.handleFleetChange(effect)
	}
}

// publish makes a view visible to readers, and fails when the configuration revision decreases.
func (in *instance) publish(view *control.View) {
	view = in.w.plantedFaults.publish(in, view)
	in.view = view
	in.source.SetPeers(in.w.now, in.peers())
	if view.Catalog == nil {
		return
	}
	if view.Catalog.Revision() < in.revision {
		in.w.fail("P7: %s went from revision %d back to %d", in.id, in.revision, view.Catalog.Revision())
	}
	in.revision = view.Catalog.Revision()
}

// answer passes the answer of a shard to its waiter, and fails on a second answer to the same reference.
func (in *instance) answer(waiting map[uint64]func(any), ref uint64, answer any) {
	waiter, found := waiting[ref]
	if !found {
		in.w.fail("claim: reference %d was answered twice", ref)
		return
	}
	delete(waiting, ref)
	waiter(answer)
}

func (in *instance) sendLeaves(notice membership.Notice) {
	leave := &wire.Leave{
		Id: notice.ID, Incarnation: notice.Incarnation, Successor: notice.Successor, NoticeMs: notice.Remaining.Milliseconds(),
	}
	in.broadcast(func(to *instance) { to.step(control.LeavesReceived{Leaves: []*wire.Leave{leave}}) })
}

// broadcast calls all other live members of the data centre.
func (in *instance) broadcast(handle func(to *instance)) {
	for _, m := range in.view.Fleet.LiveIn(in.dc) {
		if m != in.view.Fleet.Self {
			in.notifyPeer(m.Incarnation, handle)
		}
	}
}

// notifyPeer makes a call and ignores the answer.
func (in *instance) notifyPeer(incarnation string, handle func(to *instance)) {
	in.callPeer(incarnation, broadcastTimeout, func(to *instance, answer func(any)) {
		handle(to)
		answer(true)
	}, func(any) {})
}

// callPeer calls the peer address of an incarnation; a later incarnation may listen there by then.
func (in *instance) callPeer(incarnation string, timeout time.Duration, handle func(*instance, func(any)), report func(any)) {
	m := in.view.Fleet.Member(incarnation)
	if m == nil || m.PeerAddress == "" {
		in.w.after(0, func() { in.do(func() { report(nil) }) })
		return
	}
	in.w.net.call(in, m.PeerAddress, timeout, handle, report)
}

func (in *instance) fetchConfig(e control.FetchConfig) {
	in.callPeer(e.From, sessionTimeout, func(to *instance, answer func(any)) {
		to.w.lastFetchRef++
		ref := to.w.lastFetchRef
		to.w.configWaiters[ref] = answer
		to.step(control.ConfigRequested{Ref: ref, Revision: e.Revision})
	}, func(answer any) {
		document, _ := answer.(*wire.ConfigDocument)
		in.step(control.ConfigFetched{From: e.From, Document: document})
	})
}
