package claim

import (
	"errors"

	"knapweedhoist/objectapi"
)

// answerRead is a claim request whose stored answer is being read from its slot.
type answerRead struct {
	request Request
	holder  string
	status  int
}

// answerFinished answers a claim request for a key whose call ran. A stored answer is read from its slot first.
func (s *Shard) answerFinished(req Request, e *entry, out *Output) {
	if !e.kept {
		out.Answers = append(out.Answers, Answer{Ref: req.Ref, Verdict: Finished, Holder: e.requestID, Status: int(e.status)})
		return
	}
	if len(s.answerReads) >= maxAnswerReads {
		out.answer(req.Ref, Unavailable, "")
		return
	}
	id := s.newCallID()
	s.answerReads[id] = answerRead{request: req, holder: e.requestID, status: int(e.status)}
	out.Calls = append(out.Calls, objectapi.Call{ID: id, Request: objectapi.Get(objectapi.KindClaim, slotName(s.cfg.Shard, e.slot))})
}

// answerReadDone handles the result of the read of a stored answer. The answer is omitted if its slot has been deleted.
func (s *Shard) answerReadDone(done objectapi.CallResult, out *Output) {
	r, ok := s.answerReads[done.ID]
	if !ok {
		return
	}
	delete(s.answerReads, done.ID)
	if done.Err != nil && !errors.Is(done.Err, objectapi.ErrNotFound) {
		out.answer(r.request.Ref, Unavailable, r.holder)
		return
	}
	answer := Answer{Ref: r.request.Ref, Verdict: Finished, Holder: r.holder, Status: r.status}
	if stored, ok := findAnswer(done.Reply.Object.Value, r); ok {
		answer.Kept, answer.Body, answer.ContentType = true, stored.Answer, stored.ContentType
	}
	out.Answers = append(out.Answers, answer)
}

// findAnswer returns the record in the slot value that holds the stored answer of r.
func findAnswer(value []byte, r answerRead) (Record, bool) {
	slot, err := DecodeSlot(value)
	if err != nil {
		return Record{}, false
	}
	for _, record := range slot.Records {
		if record.Key == r.request.Key && record.State == StateFinished && record.RequestID == r.holder {
			return record, record.Kept
		}
	}
	return Record{}, false
}
