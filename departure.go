package knapweedhoist

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"knapweedhoist/control"
	"knapweedhoist/internal/wait"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// departureRecord tells who took over the requests of an instance that has left.
type departureRecord struct {
	Instance  string `json:"instance"`
	Successor string `json:"successor"`
	AtMs      int64  `json:"at_ms"`
}

// handoverTransport carries the calls of a handover.
type handoverTransport struct {
	instance *Instance

	// storing is held during a write of the departure record, so that an older
	// successor is not stored after a newer one.
	storing sync.Mutex
}

// handoverTimeout bounds one call of a handover. It is the silence limit of
// sessions, after which the peer counts as lost.
const handoverTimeout = 6 * time.Second

// Send implements handover.Transport.
func (t *handoverTransport) Send(incarnation string, call *wire.Call, report func(*wire.Answer, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		answer, err := t.instance.callPeer(ctx, incarnation, call)
		if report != nil {
			report(answer, err)
		}
	}()
}

// Announce implements handover.Transport.
func (t *handoverTransport) Announce(successor string) {
	i := t.instance
	notice := membership.Notice{ID: i.cfg.Instance, Incarnation: i.incarnation, Successor: successor, Left: i.drain.left()}
	i.ring.Record(timeline.Event{Kind: timeline.KindHandover, Peer: successor, Step: "handover/announce"})
	go i.hub.post(i.drain.alive(), control.NoticeReceived{Notice: notice})
	go t.store(successor)
}

// departureRetry is the wait before a failed write of the departure record is repeated.
const departureRetry = time.Second

// store writes the departure record until it is stored or the instance ends.
func (t *handoverTransport) store(successor string) {
	t.storing.Lock()
	defer t.storing.Unlock()
	i := t.instance
	ctx := i.drain.alive()
	value, err := json.Marshal(departureRecord{
		Instance: i.cfg.Instance, Successor: successor, AtMs: time.Now().UnixMilli(),
	})
	if err != nil {
		i.lg.Error("departure record cannot be encoded", "step", "departure", "error", err.Error())
		return
	}
	write := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindDeparture, Name: i.incarnation, Value: value}
	for ctx.Err() == nil && i.home.Successor() == successor {
		if _, err := i.store.Do(ctx, write); err == nil {
			return
		}
		wait.For(ctx, departureRetry)
	}
}
