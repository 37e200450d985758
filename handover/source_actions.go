package handover

import (
	"time"

	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// handle passes an event to the machine and executes the resulting actions. The
// caller holds mu.
func (s *Source) handle(now time.Time, event SourceEvent) {
	for _, action := range s.machine.Handle(now, event) {
		s.execute(now, action)
	}
}

func (s *Source) execute(now time.Time, action Action) {
	switch a := action.(type) {
	case Announce:
		s.transport.Announce(a.Successor)
	case SendCopy:
		s.sendCopy(now, a)
	case SendEvents:
		s.sendEvents(a)
	case Deliver:
		s.deliver(now, a)
	case Hold:
		s.hold(s.entries[a.ID])
	case Unhold:
		s.entries[a.ID].Unhold()
	case Move:
		s.move(now, a)
	case SendRelease:
		s.sendRelease(a)
	case SendDrop:
		s.transport.Send(a.Peer, &wire.Call{Body: &wire.Call_HandoverDrop{
			HandoverDrop: &wire.HandoverDrop{Ids: idStrings(a.IDs)},
		}}, nil)
	case MarkPeerMayRun:
		s.entries[a.ID].MarkPeerMayRun()
	case Finish:
		s.finish(now, a)
	}
}

func (s *Source) sendCopy(now time.Time, a SendCopy) {
	state, upTo, err := s.entries[a.ID].Copy(now, a.Sendable)
	if err != nil {
		// A request whose call was sent after all has no sendable copy. The copy counts
		// as refused by the peer.
		s.handle(now, Copied{ID: a.ID, Epoch: a.Epoch, Result: CopyRefused})
		return
	}
	call := &wire.Call{Body: &wire.Call_HandoverCopy{
		HandoverCopy: &wire.HandoverCopy{State: state, From: s.machine.self, Epoch: a.Epoch},
	}}
	s.transport.Send(a.Peer, call, s.onCopyAnswer(a.ID, a.Epoch, upTo))
}

func (s *Source) sendEvents(a SendEvents) {
	message, upTo := s.entries[a.ID].EventsAfter(a.After)
	call := &wire.Call{Body: &wire.Call_HandoverEvents{HandoverEvents: message}}
	s.transport.Send(a.Peer, call, s.onCopyAnswer(a.ID, a.Epoch, upTo))
}

// onCopyAnswer returns the function that reports the peer's answer to a copy or to
// events as Copied.
func (s *Source) onCopyAnswer(id request.ID, epoch, upTo uint64) func(*wire.Answer, error) {
	return func(answer *wire.Answer, err error) {
		s.handleReport(Copied{ID: id, Epoch: epoch, UpTo: upTo, Result: copyResult(answer, err)})
	}
}

func (s *Source) sendRelease(a SendRelease) {
	call := &wire.Call{Body: &wire.Call_HandoverRelease{
		HandoverRelease: &wire.HandoverRelease{From: s.machine.self, Ids: idStrings(a.IDs)},
	}}
	s.transport.Send(a.Peer, call, func(answer *wire.Answer, err error) {
		result := copyResult(answer, err)
		s.handleReport(Released{Epoch: a.Epoch, IDs: a.IDs, OK: result == CopyAccepted, CopyMissing: result == CopyGap})
	})
}

// handleReport handles the answer of a peer at the time of the previous event,
// because Transport passes no time with an answer.
func (s *Source) handleReport(event SourceEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle(s.machine.now, event)
}

func (s *Source) deliver(now time.Time, a Deliver) {
	entry := s.entries[a.ID]
	entry.Deliver(a.UpTo)
	s.handle(now, Delivered{ID: a.ID, UpTo: entry.Visible()})
}

func (s *Source) move(now time.Time, a Move) {
	entry := s.entries[a.ID]
	move := entry.Move
	if a.OnlyUnsent {
		move = entry.MoveUnsent
	}
	moved := move() == nil
	s.handle(now, Moved{ID: a.ID, OK: moved})
	if !moved {
		s.reportProgress(now, entry)
	}
}

func (s *Source) finish(now time.Time, a Finish) {
	entry := s.entries[a.ID]
	_ = entry.Finish(now, request.Finish{
		Outcome: entry.OutcomeIfEnded(), Status: statusEnded, Step: "handover",
		Detail: "the instance ended before the request did",
	})
	entry.Unhold()
}

// statusEnded is the HTTP status of requests that finish because the instance ends
// (503 Service Unavailable).
const statusEnded = 503

func idStrings(ids []request.ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = id.String()
	}
	return out
}
