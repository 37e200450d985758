package claim

import "time"

// evaluate answers a claim request from the index, or queues its claim.
func (s *Shard) evaluate(now time.Time, req Request, out *Output) {
	e, known := s.index[req.Key]
	if known && e.pending == nil && e.expired(now, s.cfg.ExpiryMargin) {
		known = false
	}
	switch {
	case now.After(req.Deadline):
		out.answer(req.Ref, Unavailable, "")
	case !known:
		s.enqueueClaim(now, req, e, out)
	case e.state == StateReleased && e.requestID == req.RequestID:
		// A request that released its claim never sends its call, so this claim request was sent before the release and
		// arrived after it.
		out.answer(req.Ref, Unavailable, "")
	case e.state == StateReleased:
		s.enqueueClaim(now, req, e, out)
	case e.body != req.Body:
		out.answer(req.Ref, Mismatch, e.requestID)
	case e.state == StateFinished:
		s.answerFinished(req, e, out)
	case e.requestID == req.RequestID && req.From != Home(req.RequestID) && (!e.durable || e.endPending):
		// The request moved to the sender, which sends the call once an answer names the request as the holder. A claim
		// that is not durable may never become durable, and another owner may grant the key meanwhile.
		out.answer(req.Ref, Unavailable, "")
	case e.requestID != req.RequestID || req.From != Home(req.RequestID):
		out.answer(req.Ref, InProgress, e.requestID)
	case e.endPending:
		out.answer(req.Ref, Unavailable, "")
	case !e.durable:
		e.pending.requests = append(e.pending.requests, req)
	default:
		s.grant(req, e, nil, out) // the first answer to the home was lost
	}
}

// enqueueClaim queues the claim of a key that no request holds. previous is the entry that it replaces, nil if there is
// none.
func (s *Shard) enqueueClaim(now time.Time, req Request, previous *entry, out *Output) {
	if req.From != Home(req.RequestID) {
		out.answer(req.Ref, Unavailable, "")
		return
	}
	retention := req.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	e := &entry{body: req.Body, requestID: req.RequestID, state: StateClaimed, retentionMs: retention.Milliseconds()}
	if previous != nil {
		e.expiryMs = previous.expiryMs
	}
	o := &op{entry: e, previous: previous, requests: []Request{req}}
	o.record = Record{State: StateClaimed, Key: req.Key, Body: req.Body, RequestID: req.RequestID}
	s.setTimes(now, later(now, earlier(req.Deadline, now.Add(maxRequestDeadline))), o)
	e.pending = o
	s.index[req.Key] = e
	s.queue = append(s.queue, o)
}

// setTimes sets the times of the record of o. The retention of a claim counts from the deadline of its claim request,
// because until then the request may be granted the claim again after a lost answer, and send its call. A later record
// of a key never expires before an earlier one, so that the deletion of slots never restores an older state of the key.
func (s *Shard) setTimes(now, retentionStart time.Time, o *op) {
	o.record.AtMs = now.UnixMilli()
	o.record.ExpiryMs = max(retentionStart.UnixMilli()+o.entry.retentionMs, o.entry.expiryMs)
	o.entry.expiryMs = o.record.ExpiryMs
}

// grant answers a claim request with Granted. o is the operation that made the claim durable, nil for a repeated answer.
func (s *Shard) grant(req Request, e *entry, o *op, out *Output) {
	s.checkGrant(req, e, o)
	e.grantedTo = req.RequestID
	out.answer(req.Ref, Granted, req.RequestID)
}

// evaluateFinish queues the end or the release of a claim, or cancels a claim whose record was not yet sent.
func (s *Shard) evaluateFinish(now time.Time, f Finish, out *Output) {
	e, known := s.index[f.Key]
	switch {
	case !known || e.requestID != f.RequestID:
		out.ack(f.Ref, NoClaim)
	case e.durable && e.state != StateClaimed:
		out.ack(f.Ref, Stored) // a repeated report of a stored end
	case e.endPending:
		e.pending.finishRefs = append(e.pending.finishRefs, f.Ref)
	case !e.durable && !f.Released:
		out.ack(f.Ref, Refused)
	case !e.durable && !e.pending.writeStarted:
		s.cancelQueued(e.pending, out)
		out.ack(f.Ref, Stored)
	default:
		s.enqueueEnd(now, e, f, out)
	}
}

// cancelQueued removes a claim from the queue and answers its claim requests with Unavailable.
func (s *Shard) cancelQueued(o *op, out *Output) {
	for _, req := range o.requests {
		out.answer(req.Ref, Unavailable, "")
	}
	o.requests = nil
	for i, queued := range s.queue {
		if queued == o {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			break
		}
	}
	s.revertIndex(o)
}

// enqueueEnd queues the record of the end or the release of a claim. Claim requests that wait for the claim are answered
// with Unavailable.
func (s *Shard) enqueueEnd(now time.Time, e *entry, f Finish, out *Output) {
	if !e.durable {
		for _, req := range e.pending.requests {
			out.answer(req.Ref, Unavailable, "")
		}
		e.pending.requests = nil
	}
	o := &op{entry: e, finishRefs: []uint64{f.Ref}}
	o.record = Record{State: StateReleased, Key: f.Key, Body: e.body, RequestID: f.RequestID}
	if !f.Released {
		o.record.State = StateFinished
		o.record.Status = min(max(f.Status, 0), maxStatus)
		o.record.Kept = f.Kept && len(f.Answer) <= MaxAnswerBytes && len(f.ContentType) <= MaxContentTypeBytes
	}
	if o.record.Kept {
		o.record.ContentType, o.record.Answer = f.ContentType, f.Answer
	}
	s.setTimes(now, now, o)
	e.endPending = true
	e.pending = o
	s.queue = append(s.queue, o)
}
