package claim

import (
	"bytes"
	"slices"
	"time"

	"knapweedhoist/objectapi"
)

// append starts the next write when the previous one has ended and the rate allows it.
func (s *Shard) append(now time.Time, out *Output) {
	if s.main != nil || len(s.queue) == 0 || now.Sub(s.lastWrite) < s.cfg.WriteInterval {
		return
	}
	s.lastWrite = now
	if value, n := s.fill(s.tail.value); n > 0 {
		s.fly(s.tail.number, value, n)
		request := objectapi.Update(objectapi.KindClaim, name(s.cfg.Shard, s.tail.number), s.tail.version, value)
		s.issue(stageAppend, request, out)
		return
	}
	value, n := s.fill(Slot{Epoch: s.tail.epoch, Owner: s.cfg.Incarnation}.encode())
	s.fly(s.tail.number+1, value, n)
	s.issue(stageRoll, objectapi.Create(objectapi.KindClaim, name(s.cfg.Shard, s.flightNumber), value), out)
}

// fill appends the records of the queue that fit into the slot and returns their number.
func (s *Shard) fill(value []byte) ([]byte, int) {
	value = bytes.Clone(value)
	for i, o := range s.queue {
		longer := o.record.append(value)
		if len(longer) > MaxSlotBytes {
			return value, i
		}
		value = longer
	}
	return value, len(s.queue)
}

func (s *Shard) fly(number uint64, value []byte, n int) {
	s.flight, s.queue = s.queue[:n:n], append([]*op(nil), s.queue[n:]...)
	s.flightNumber, s.flightValue = number, value
	for _, o := range s.flight {
		o.inFlight = true
	}
}

// appended takes the result of an append. After a lost reply the same bytes
// were sent again: a conflict with exactly these bytes is this append's own effect.
func (s *Shard) appended(now time.Time, done objectapi.Done, out *Output) {
	object := done.Reply.Object
	if done.Err != nil && !bytes.Equal(object.Value, s.flightValue) {
		s.stepDown(now, "append refused", out)
		return
	}
	s.flightVersion = object.Version
	s.commit(now, out)
}

func (s *Shard) rolled(now time.Time, done objectapi.Done, out *Output) {
	object := done.Reply.Object
	if done.Err != nil && !bytes.Equal(object.Value, s.flightValue) {
		s.stepDown(now, "next slot refused", out)
		return
	}
	s.flightVersion = object.Version
	s.issue(stageVerifyRoll, s.listAfter(s.flightNumber), out)
}

func (s *Shard) rollVerified(now time.Time, done objectapi.Done, out *Output) {
	if done.Err != nil || len(done.Reply.Objects) > 0 {
		s.stepDown(now, "a later slot exists", out)
		return
	}
	s.older = append(s.older, slotInfo{
		number: s.tail.number, version: s.tail.version, expiry: s.tail.expiry, keys: s.tail.keys,
	})
	s.tail.keys, s.tail.expiry = nil, time.Time{}
	s.commit(now, out)
}

// commit makes the records of the batch count and answers those who waited for them.
func (s *Shard) commit(now time.Time, out *Output) {
	s.checkSize(s.flightValue)
	s.tail.number, s.tail.version, s.tail.value = s.flightNumber, s.flightVersion, s.flightValue
	flight := s.flight
	s.flight = nil
	for _, o := range flight {
		s.tail.keys = addKey(s.tail.keys, o.record.Key)
		s.tail.expiry = later(s.tail.expiry, time.UnixMilli(o.record.ExpiryMs))
		s.settle(now, o, out)
	}
}

func (s *Shard) settle(now time.Time, o *op, out *Output) {
	e := o.entry
	e.slot, e.durable = s.tail.number, true
	e.state, e.status, e.kept = o.record.State, int16(o.record.Status), o.record.Kept
	if e.pending == o {
		e.pending = nil
		e.closing = false
	}
	for _, ref := range o.acks {
		out.ack(ref, Stored)
	}
	for _, ask := range o.asks {
		if now.After(ask.Deadline) {
			out.answer(ask.Ref, Unavailable, "")
			continue
		}
		s.grant(ask, e, o, out)
	}
}

// addKey adds a key to the keys of a slot once; a slot holds at most some 50 records.
func addKey(keys []Hash, key Hash) []Hash {
	if slices.Contains(keys, key) {
		return keys
	}
	return append(keys, key)
}
