package claim

import (
	"errors"

	"knapweedhoist/objectapi"
)

// read is an ask that waits for a stored answer.
type read struct {
	ask    Ask
	holder string
	status int
}

// answerFinished answers an ask for a key whose call ran; a kept answer is read from its slot.
func (s *Shard) answerFinished(ask Ask, e *entry, out *Output) {
	if !e.kept {
		out.Answers = append(out.Answers, Answer{Ref: ask.Ref, Verdict: Finished, Holder: e.requestID, Status: int(e.status)})
		return
	}
	if len(s.reads) >= maxReads {
		out.answer(ask.Ref, Unavailable, "")
		return
	}
	id := s.newID()
	s.reads[id] = read{ask: ask, holder: e.requestID, status: int(e.status)}
	out.Calls = append(out.Calls, objectapi.Call{ID: id, Request: objectapi.Get(objectapi.KindClaim, name(s.cfg.Shard, e.slot))})
}

func (s *Shard) readDone(done objectapi.Done, out *Output) {
	r, ok := s.reads[done.ID]
	if !ok {
		return
	}
	delete(s.reads, done.ID)
	if done.Err != nil && !errors.Is(done.Err, objectapi.ErrNotFound) {
		out.answer(r.ask.Ref, Unavailable, r.holder)
		return
	}
	answer := Answer{Ref: r.ask.Ref, Verdict: Finished, Holder: r.holder, Status: r.status}
	if stored, ok := findAnswer(done.Reply.Object.Value, r); ok {
		answer.Kept, answer.Body, answer.ContentType = true, stored.Answer, stored.ContentType
	}
	out.Answers = append(out.Answers, answer)
}

func findAnswer(value []byte, r read) (Record, bool) {
	slot, err := DecodeSlot(value)
	if err != nil {
		return Record{}, false
	}
	for _, record := range slot.Records {
		if record.Key == r.ask.Key && record.State == StateDone && record.RequestID == r.holder {
			return record, record.Kept
		}
	}
	return Record{}, false
}
