package knapweedhoist

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"knapweedhoist/control"
	"knapweedhoist/handover"
	"knapweedhoist/internal/wait"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/peer"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// departureRecord is the JSON record on the platform that names the successor
// of an instance that is leaving or has left.
type departureRecord struct {
	Instance  string `json:"instance"`
	Successor string `json:"successor"`
	AtMs      int64  `json:"at_ms"`
}

// handoverTransport implements handover.Transport over the peer sessions.
type handoverTransport struct {
	instance *Instance

	// storeMu serialises writes of the departure record, so that an older
	// successor is not stored after a newer one.
	storeMu sync.Mutex
}

// handoverTimeout limits one call of a handover. It equals the timeout of a peer
// session without traffic, after which the peer counts as lost.
const handoverTimeout = 6 * time.Second

// Send implements handover.Transport.
func (t *handoverTransport) Send(incarnation string, call *wire.Call, report func(*wire.Answer, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		answer, err := handoverAnswer(t.instance.callPeer(ctx, incarnation, call))
		if report != nil {
			report(answer, err)
		}
	}()
}

// handoverAnswer returns a failure with which the peer's handover.Target answered as an answer. The client returns it as an
// error, like failures that say nothing about the call.
func handoverAnswer(answer *wire.Answer, err error) (*wire.Answer, error) {
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Step == handover.FailureStep {
		return &wire.Answer{Failure: &wire.Failure{Code: remote.Code, Step: remote.Step, Message: remote.Message}}, nil
	}
	return answer, err
}

// Announce implements handover.Transport.
func (t *handoverTransport) Announce(successor string) {
	i := t.instance
	notice := membership.Notice{ID: i.cfg.Instance, Incarnation: i.incarnation, Successor: successor, Remaining: i.drain.remainingNotice()}
	i.ring.Record(timeline.Event{Kind: timeline.KindHandover, Peer: successor, Step: "handover/announce"})
	go i.hub.post(i.drain.lifetime(), control.NoticeReceived{Notice: notice})
	go t.storeDepartureRecord(successor)
}

// departureRetry is the delay before a failed write of the departure record is repeated.
const departureRetry = time.Second

// storeDepartureRecord writes the departure record, with retries until the write
// succeeds, the successor changes or the instance ends.
func (t *handoverTransport) storeDepartureRecord(successor string) {
	t.storeMu.Lock()
	defer t.storeMu.Unlock()
	i := t.instance
	ctx := i.drain.lifetime()
	value, err := json.Marshal(departureRecord{
		Instance: i.cfg.Instance, Successor: successor, AtMs: time.Now().UnixMilli(),
	})
	if err != nil {
		i.lg.Error("departure record cannot be encoded", "step", "departure", "error", err.Error())
		return
	}
	write := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindDeparture, Name: i.incarnation, Value: value}
	for ctx.Err() == nil && i.handoverSource.Successor() == successor {
		if _, err := i.store.Do(ctx, write); err == nil {
			return
		}
		wait.For(ctx, departureRetry)
	}
}
