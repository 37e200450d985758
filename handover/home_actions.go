package handover

import (
	"time"

	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// handle passes an event to the leaver and carries its actions out. The caller holds mu.
func (h *Home) handle(now time.Time, event Event) {
	for _, action := range h.leaver.Handle(now, event) {
		h.perform(now, action)
	}
}

func (h *Home) perform(now time.Time, action Action) {
	switch a := action.(type) {
	case Announce:
		h.transport.Announce(a.Successor)
	case SendCopy:
		h.sendCopy(now, a)
	case SendEvents:
		h.sendEvents(a)
	case Deliver:
		h.deliver(now, a)
	case Hold:
		h.hold(h.entries[a.ID])
	case Unhold:
		h.entries[a.ID].Unhold()
	case Move:
		h.move(now, a)
	case SendRelease:
		h.sendRelease(a)
	case SendDrop:
		h.transport.Send(a.Peer, &wire.Call{Body: &wire.Call_HandoverDrop{
			HandoverDrop: &wire.HandoverDrop{Ids: texts(a.IDs)},
		}}, nil)
	case Doubt:
		h.entries[a.ID].MarkPeerMayRun()
	case End:
		h.end(now, a)
	}
}

func (h *Home) sendCopy(now time.Time, a SendCopy) {
	state, upTo, err := h.entries[a.ID].Copy(now, a.Sendable)
	if err != nil {
		// Only a request that was sent after all has no sendable copy; it ends here.
		h.handle(now, Copied{ID: a.ID, Epoch: a.Epoch, Err: CopyRefused})
		return
	}
	call := &wire.Call{Body: &wire.Call_HandoverCopy{
		HandoverCopy: &wire.HandoverCopy{State: state, From: h.leaver.self, Epoch: a.Epoch},
	}}
	h.transport.Send(a.Peer, call, h.reportCopy(a.ID, a.Epoch, upTo))
}

func (h *Home) sendEvents(a SendEvents) {
	message, upTo := h.entries[a.ID].EventsAfter(a.After)
	call := &wire.Call{Body: &wire.Call_HandoverEvents{HandoverEvents: message}}
	h.transport.Send(a.Peer, call, h.reportCopy(a.ID, a.Epoch, upTo))
}

// reportCopy returns the function that takes the peer's answer.
func (h *Home) reportCopy(id request.ID, epoch, upTo uint64) func(*wire.Answer, error) {
	return func(answer *wire.Answer, err error) {
		h.report(Copied{ID: id, Epoch: epoch, UpTo: upTo, Err: copyError(answer, err)})
	}
}

func (h *Home) sendRelease(a SendRelease) {
	call := &wire.Call{Body: &wire.Call_HandoverRelease{
		HandoverRelease: &wire.HandoverRelease{From: h.leaver.self, Ids: texts(a.IDs)},
	}}
	h.transport.Send(a.Peer, call, func(answer *wire.Answer, err error) {
		result := copyError(answer, err)
		h.report(Released{Epoch: a.Epoch, IDs: a.IDs, OK: result == CopyTaken, Missing: result == CopyGap})
	})
}

// report takes an answer at the time of the last event: answers bring no time of their own.
func (h *Home) report(event Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handle(h.leaver.now, event)
}

func (h *Home) deliver(now time.Time, a Deliver) {
	entry := h.entries[a.ID]
	entry.Deliver(a.UpTo)
	h.handle(now, Delivered{ID: a.ID, UpTo: entry.Visible()})
}

func (h *Home) move(now time.Time, a Move) {
	entry := h.entries[a.ID]
	step := entry.Move
	if a.OnlyUnsent {
		step = entry.MoveUnsent
	}
	moved := step() == nil
	h.handle(now, Moved{ID: a.ID, OK: moved})
	if !moved {
		h.progress(now, entry)
	}
}

func (h *Home) end(now time.Time, a End) {
	entry := h.entries[a.ID]
	_ = entry.Finish(now, request.Finish{
		Outcome: entry.OutcomeIfEnded(), Status: statusEnded, Step: "handover",
		Detail: "the instance ended before the request did",
	})
	entry.Unhold()
}

// statusEnded is the status of requests that end with the instance (503).
const statusEnded = 503

func texts(ids []request.ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = id.String()
	}
	return out
}
