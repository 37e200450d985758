package claim

import "time"

// evaluate answers an ask from the index, or queues its claim.
func (s *Shard) evaluate(now time.Time, ask Ask, out *Output) {
	e, known := s.index[ask.Key]
	if known && e.pending == nil && e.expired(now, s.cfg.ExpiryMargin) {
		known = false
	}
	switch {
	case now.After(ask.Deadline):
		out.answer(ask.Ref, Unavailable, "")
	case !known:
		s.claim(now, ask, e, out)
	case e.state == StateReleased && e.requestID == ask.RequestID:
		// A request that released its claim never sends its call: this ask was overtaken by the release.
		out.answer(ask.Ref, Unavailable, "")
	case e.state == StateReleased:
		s.claim(now, ask, e, out)
	case e.body != ask.Body:
		out.answer(ask.Ref, Mismatch, e.requestID)
	case e.state == StateDone:
		s.answerFinished(ask, e, out)
	case e.requestID == ask.RequestID && ask.From != Home(ask.RequestID) && (!e.durable || e.closing):
		// The request moved here and sends its call on this answer, which names it as the holder. A claim that is
		// not durable may never become so, and another owner may grant the key meanwhile.
		out.answer(ask.Ref, Unavailable, "")
	case e.requestID != ask.RequestID || ask.From != Home(ask.RequestID):
		out.answer(ask.Ref, InProgress, e.requestID)
	case e.closing:
		out.answer(ask.Ref, Unavailable, "")
	case !e.durable:
		e.pending.asks = append(e.pending.asks, ask)
	default:
		s.grant(ask, e, nil, out) // the first answer was lost on its way to the home
	}
}

// claim queues the claim of a key that nobody holds.
func (s *Shard) claim(now time.Time, ask Ask, previous *entry, out *Output) {
	if ask.From != Home(ask.RequestID) {
		out.answer(ask.Ref, Unavailable, "")
		return
	}
	retention := ask.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	e := &entry{body: ask.Body, requestID: ask.RequestID, state: StateClaimed, retentionMs: retention.Milliseconds()}
	if previous != nil {
		e.expiryMs = previous.expiryMs
	}
	o := &op{entry: e, previous: previous, asks: []Ask{ask}}
	o.record = Record{State: StateClaimed, Key: ask.Key, Body: ask.Body, RequestID: ask.RequestID}
	s.stamp(now, later(now, earlier(ask.Deadline, now.Add(maxDeadline))), o)
	e.pending = o
	s.index[ask.Key] = e
	s.queue = append(s.queue, o)
}

// stamp sets the times of the record. The retention of a claim counts from the ask's deadline: until then the
// request may be granted the claim again after a lost answer, and send its call. A later record of a key never expires before an earlier one, so that the
// deletion of slots never brings an older state of the key back.
func (s *Shard) stamp(now, from time.Time, o *op) {
	o.record.AtMs = now.UnixMilli()
	o.record.ExpiryMs = max(from.UnixMilli()+o.entry.retentionMs, o.entry.expiryMs)
	o.entry.expiryMs = o.record.ExpiryMs
}

func (s *Shard) grant(ask Ask, e *entry, o *op, out *Output) {
	s.checkGrant(ask, e, o)
	e.granted = ask.RequestID
	out.answer(ask.Ref, Granted, ask.RequestID)
}

// end queues the end of a claim, or takes back a claim that was not sent.
func (s *Shard) end(now time.Time, f Finish, out *Output) {
	e, known := s.index[f.Key]
	switch {
	case !known || e.requestID != f.RequestID:
		out.ack(f.Ref, NoClaim)
	case e.durable && e.state != StateClaimed:
		out.ack(f.Ref, Stored) // the repetition of a stored end
	case e.closing:
		e.pending.acks = append(e.pending.acks, f.Ref)
	case !e.durable && !f.Released:
		out.ack(f.Ref, Refused)
	case !e.durable && !e.pending.inFlight:
		s.cancel(e.pending, out)
		out.ack(f.Ref, Stored)
	default:
		s.close(now, e, f, out)
	}
}

func (s *Shard) cancel(o *op, out *Output) {
	for _, ask := range o.asks {
		out.answer(ask.Ref, Unavailable, "")
	}
	o.asks = nil
	for i, queued := range s.queue {
		if queued == o {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			break
		}
	}
	s.forget(o)
}

func (s *Shard) close(now time.Time, e *entry, f Finish, out *Output) {
	if !e.durable {
		for _, ask := range e.pending.asks {
			out.answer(ask.Ref, Unavailable, "")
		}
		e.pending.asks = nil
	}
	o := &op{entry: e, acks: []uint64{f.Ref}}
	o.record = Record{State: StateReleased, Key: f.Key, Body: e.body, RequestID: f.RequestID}
	if !f.Released {
		o.record.State = StateDone
		o.record.Status = min(max(f.Status, 0), maxStatus)
		o.record.Kept = f.Kept && len(f.Answer) <= MaxAnswerBytes && len(f.ContentType) <= MaxContentTypeBytes
	}
	if o.record.Kept {
		o.record.ContentType, o.record.Answer = f.ContentType, f.Answer
	}
	s.stamp(now, now, o)
	e.closing = true
	e.pending = o
	s.queue = append(s.queue, o)
}
