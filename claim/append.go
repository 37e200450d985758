package claim

import (
	"bytes"
	"slices"
	"time"

	"knapweedhoist/objectapi"
)

// startAppend writes queued records to the tail, or to a new slot when the tail is full. It starts no write while a log
// call is in progress, and at most one per WriteInterval.
func (s *Shard) startAppend(now time.Time, out *Output) {
	if s.logCall != nil || len(s.queue) == 0 || now.Sub(s.lastWrite) < s.cfg.WriteInterval {
		return
	}
	s.lastWrite = now
	if value, n := s.appendQueued(s.tail.value); n > 0 {
		s.startBatch(s.tail.number, value, n)
		request := objectapi.Update(objectapi.KindClaim, slotName(s.cfg.Shard, s.tail.number), s.tail.version, value)
		s.startCall(stageAppend, request, out)
		return
	}
	value, n := s.appendQueued(Slot{Epoch: s.tail.epoch, Owner: s.cfg.Incarnation}.encode())
	s.startBatch(s.tail.number+1, value, n)
	s.startCall(stageRoll, objectapi.Create(objectapi.KindClaim, slotName(s.cfg.Shard, s.appendNumber), value), out)
}

// appendQueued returns value with the queued records that fit into the slot appended, and the number of these records.
func (s *Shard) appendQueued(value []byte) ([]byte, int) {
	value = bytes.Clone(value)
	for i, o := range s.queue {
		extended := o.record.appendTo(value)
		if len(extended) > MaxSlotBytes {
			return value, i
		}
		value = extended
	}
	return value, len(s.queue)
}

// startBatch moves the first n operations of the queue to the batch of a write of value to slot number.
func (s *Shard) startBatch(number uint64, value []byte, n int) {
	s.batch, s.queue = s.queue[:n:n], append([]*op(nil), s.queue[n:]...)
	s.appendNumber, s.appendValue = number, value
	for _, o := range s.batch {
		o.writeStarted = true
	}
}

// appendDone handles the result of an append. After a lost reply the append is repeated with the same bytes, so a
// conflict with an object of exactly these bytes means that an earlier attempt took effect.
func (s *Shard) appendDone(now time.Time, done objectapi.CallResult, out *Output) {
	object := done.Reply.Object
	if done.Err != nil && !bytes.Equal(object.Value, s.appendValue) {
		s.stepDown(now, "append refused", out)
		return
	}
	s.appendVersion = object.Version
	s.commit(now, out)
}

// rollDone handles the result of the creation of the next slot.
func (s *Shard) rollDone(now time.Time, done objectapi.CallResult, out *Output) {
	object := done.Reply.Object
	if done.Err != nil && !bytes.Equal(object.Value, s.appendValue) {
		s.stepDown(now, "creation of the next slot refused", out)
		return
	}
	s.appendVersion = object.Version
	s.startCall(stageVerifyRoll, s.listFirstAfter(s.appendNumber), out)
}

// verifyRollDone handles the list of the slots after a new one, which must be empty.
func (s *Shard) verifyRollDone(now time.Time, done objectapi.CallResult, out *Output) {
	if done.Err != nil || len(done.Reply.Objects) > 0 {
		s.stepDown(now, "a later slot exists", out)
		return
	}
	s.olderSlots = append(s.olderSlots, slotInfo{
		number: s.tail.number, version: s.tail.version, expiry: s.tail.expiry, keys: s.tail.keys,
	})
	s.tail.keys, s.tail.expiry = nil, time.Time{}
	s.commit(now, out)
}

// commit makes the written slot the tail and completes the operations of the batch.
func (s *Shard) commit(now time.Time, out *Output) {
	s.checkSize(s.appendValue)
	s.tail.number, s.tail.version, s.tail.value = s.appendNumber, s.appendVersion, s.appendValue
	batch := s.batch
	s.batch = nil
	for _, o := range batch {
		s.tail.keys = addKey(s.tail.keys, o.record.Key)
		s.tail.expiry = later(s.tail.expiry, time.UnixMilli(o.record.ExpiryMs))
		s.completeOp(now, o, out)
	}
}

// completeOp applies a durable record to its entry, and answers the claim requests and finishes that wait for it.
func (s *Shard) completeOp(now time.Time, o *op, out *Output) {
	e := o.entry
	e.slot, e.durable = s.tail.number, true
	e.state, e.status, e.kept = o.record.State, int16(o.record.Status), o.record.Kept
	if e.pending == o {
		e.pending = nil
		e.endPending = false
	}
	for _, ref := range o.finishRefs {
		out.ack(ref, Stored)
	}
	for _, req := range o.requests {
		if now.After(req.Deadline) {
			out.answer(req.Ref, Unavailable, "")
			continue
		}
		s.grant(req, e, o, out)
	}
}

// addKey appends key to keys unless it is present. The search is linear because a slot holds at most about 50 records.
func addKey(keys []Hash, key Hash) []Hash {
	if slices.Contains(keys, key) {
		return keys
	}
	return append(keys, key)
}
