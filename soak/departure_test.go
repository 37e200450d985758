package soak

import (
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/control"
	"knapweedhoist/handover"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// Timeouts of a departure, as in the root package or the defaults of package settings.
const (
	drainTimeout   = 30 * time.Second
	handoverMargin = 3 * time.Second
	// maxDeadline bounds the time to the deadline of a request.
	maxDeadline    = 30 * time.Minute
	departureRetry = time.Second
	handoverTick   = 100 * time.Millisecond
	answerTimeout  = 5 * time.Second
	assumedNotice  = 10 * time.Second
)

var errNoAnswer = errors.New("no answer")

// reclaim handles a notice that the cloud ends the instance after left; without a positive left it assumes
// assumedNotice.
func (in *instance) reclaim(left time.Duration) {
	if left <= 0 {
		left = assumedNotice
	}
	end := in.w.now.Add(left)
	in.startDeparture(end.Add(-min(handoverMargin, left/2)), end, true)
}

// stop starts the departure of a planned stop.
func (in *instance) stop() {
	release := in.w.now.Add(drainTimeout)
	in.startDeparture(release, release.Add(maxDeadline), false)
}

// startDeparture starts the departure, or shortens the one in progress if endAt is earlier.
func (in *instance) startDeparture(releaseAt, endAt time.Time, reclaimed bool) {
	if in.leaving && !endAt.Before(in.endAt) {
		return
	}
	in.releaseAt, in.endAt, in.reclaimed = releaseAt, endAt, reclaimed
	if in.leaving {
		return
	}
	in.leaving, in.leavingSince = true, in.w.now
	in.w.trace(in.incarnation, "%s leaves; releases in %v, ends in %v", in.id, releaseAt.Sub(in.w.now), endAt.Sub(in.w.now))
	in.w.list.record()
	in.target.SelfLeaving()
	in.source.Depart(in.w.now, in.departure())
}

// departure returns the times and the candidate peers of the departure in progress.
func (in *instance) departure() handover.Departure {
	return handover.Departure{ReleaseAt: in.releaseAt, EndAt: in.endAt, Peers: in.peers()}
}

// pollHandover drives the handover source and target. Once the departure is done or its time is over, it ends the instance,
// after up to answerTimeout for the last answers to callers.
func (in *instance) pollHandover() {
	w := in.w
	select {
	case <-in.source.Wake():
		in.source.Poll(w.now)
	default:
	}
	if w.now.Sub(in.targetTickedAt) >= time.Second {
		in.targetTickedAt = w.now
		in.target.Tick(w.now)
	}
	if !in.leaving || !in.stoppedAt.IsZero() || w.now.Sub(in.sourceTickedAt) < handoverTick {
		return
	}
	in.sourceTickedAt = w.now
	in.source.Depart(w.now, in.departure())
	in.source.Tick(w.now)
	w.trace(in.incarnation, "%d peers, successor %q, calm %v, resumed %v, failures while leaving %v", len(in.peers()), in.source.Successor(), w.calm(), in.resumesAt.Format("04:05.000"), in.failuresWhileLeaving)
	if in.source.Done() || w.now.After(in.endAt) {
		in.stoppedAt = w.now
		w.trace(in.incarnation, "%s stopped, done %v", in.id, in.source.Done())
		w.after(w.randomDuration(200*time.Millisecond, answerTimeout), func() { w.end(in) })
	}
}

// peers returns the live peers as candidates for a handover.
func (in *instance) peers() []handover.Peer {
	var peers []handover.Peer
	for _, m := range in.view.Fleet.Live() {
		if m == in.view.Fleet.Self || m.PeerAddress == "" {
			continue
		}
		peer := handover.Peer{Incarnation: m.Incarnation, Datacentre: m.Datacentre}
		if m.Datacentre != in.dc {
			peer.Distance = 2
		}
		peers = append(peers, peer)
	}
	return peers
}

// transport carries the calls of a handover.
type transport struct{ in *instance }

// Send implements handover.Transport.
func (t transport) Send(incarnation string, call *wire.Call, report func(*wire.Answer, error)) {
	call = proto.Clone(call).(*wire.Call)
	t.in.w.trace(t.in.incarnation, "to %s: %.90s", incarnation, call.String())
	t.in.callPeer(incarnation, sessionTimeout, func(to *instance, answer func(any)) {
		answer(to.target.Handle(to.w.now, t.in.incarnation, call))
	}, func(result any) {
		if report == nil {
			return
		}
		t.in.w.trace(t.in.incarnation, "answer of %s: %v", incarnation, result)
		if answer, found := result.(*wire.Answer); found {
			report(answer, nil)
			return
		}
		report(nil, errNoAnswer)
	})
}

// Announce implements handover.Transport.
func (t transport) Announce(successor string) {
	in := t.in
	in.w.after(0, func() {
		in.do(func() {
			notice := membership.Notice{ID: in.id, Incarnation: in.incarnation, Successor: successor}
			if in.reclaimed {
				notice.Remaining = max(time.Millisecond, in.endAt.Sub(in.w.now))
			}
			in.w.trace(in.incarnation, "announces successor %q", successor)
			in.step(control.NoticeReceived{Notice: notice})
			in.storeDeparture(successor)
		})
	})
}

// storeDeparture writes the departure record, and retries until it is stored or the successor has changed.
func (in *instance) storeDeparture(successor string) {
	if in.source.Successor() != successor {
		return
	}
	value, _ := json.Marshal(departureRecord{Successor: successor})
	write := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindDeparture, Name: in.incarnation, Value: value}
	in.w.platform.call(in, write, func(done objectapi.CallResult) {
		if done.Err != nil {
			in.w.after(departureRetry, func() { in.do(func() { in.storeDeparture(successor) }) })
		}
	})
}

// handleFleetChange applies effects that report changes of members, endpoints and leases.
func (in *instance) handleFleetChange(effect control.Effect) {
	now := in.w.now
	switch e := effect.(type) {
	case control.EndpointLeaving:
		in.endpointLeaving(e.Endpoint)
	case control.MemberLeaving:
		in.target.SuccessorAnnounced(now, e.Incarnation, e.Successor)
		in.source.PeerLost(now, e.Incarnation)
	case control.MemberDead:
		in.target.SourceDead(now, e.Incarnation)
		in.source.PeerLost(now, e.Incarnation)
	case control.SelfLeaving:
		in.reclaim(e.Remaining)
	case control.LeaseChanged:
		in.w.leaseChanges++
	}
}

// endpointLeaving records when the leave of an endpoint was first seen, and moves its requests away.
func (in *instance) endpointLeaving(listed *membership.Endpoint) {
	if _, known := in.leaveSeenAt[listed.Incarnation]; !known {
		in.leaveSeenAt[listed.Incarnation] = in.w.now
	}
	for _, e := range in.w.endpoints {
		if e.incarnation == listed.Incarnation {
			if e.announcedAt.IsZero() {
				e.announcedAt = in.w.now
			}
			in.runner.endpointLeaving(e)
		}
	}
}
