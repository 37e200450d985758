package claim

import (
	"bytes"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// takeover is the state of a takeover of the log: locate the last slot, seal it,
// read all slots, create the next one, and check that no later one exists.
type takeover struct {
	// low is the highest slot number found. If bounded, no slot is after high. probe is the number after which the last
	// locate call listed; stride is the distance to the next probe while the search is not bounded.
	low, high, probe, stride uint64
	bounded                  bool
	// last is the slot with the number low.
	last objectapi.Object
	// cursor is the name after which the next page of slots starts.
	cursor string
	// replayed reports whether all slots before last are in the index.
	replayed bool
	// epoch is the highest epoch read.
	epoch uint64
}

func (s *Shard) startTakeover(_ time.Time, out *Output) {
	s.phase = takingOver
	s.takeover = takeover{}
	s.index = make(map[Hash]*entry)
	s.answerReads = make(map[uint64]answerRead)
	s.startCall(stageLocate, s.listFirstAfter(0), out)
}

// locateDone continues the search for the last slot: with strides that double, then by bisection. Slots between the first
// and the last one may be missing: a delayed create can store a slot again whose number was already deleted.
func (s *Shard) locateDone(now time.Time, done objectapi.CallResult, out *Output) {
	t := &s.takeover
	if len(done.Reply.Objects) > 0 {
		t.last = done.Reply.Objects[0]
		number, err := slotNumber(s.cfg.Shard, t.last.Name)
		if err != nil {
			s.stepDown(now, "name", out)
			return
		}
		t.low = number
	} else {
		t.high, t.bounded = t.probe, true
	}
	switch {
	case t.low == 0:
		s.takeover.replayed = true
		s.createTail(out)
	case t.bounded && t.low >= t.high:
		s.seal(now, out)
	default:
		s.probe(out)
	}
}

// probe lists the slot after the next number of the search.
func (s *Shard) probe(out *Output) {
	t := &s.takeover
	if t.bounded {
		t.probe = (t.low + t.high) / 2
	} else {
		t.probe = t.low + t.stride
		t.stride = max(1, 2*t.stride)
	}
	s.startCall(stageLocate, s.listFirstAfter(t.probe), out)
}

// seal seals the last slot, so that the former owner's next append fails.
func (s *Shard) seal(now time.Time, out *Output) {
	slot, err := DecodeSlot(s.takeover.last.Value)
	if err != nil {
		s.stepDown(now, "decode", out)
		return
	}
	if slot.Sealed {
		s.afterSeal(now, out)
		return
	}
	value := bytes.Clone(s.takeover.last.Value)
	value[sealedOffset] = 1
	s.startCall(stageSeal, objectapi.Update(objectapi.KindClaim, s.takeover.last.Name, s.takeover.last.Version, value), out)
}

// sealDone handles the result of the seal. After a conflict it seals the current version of the slot.
func (s *Shard) sealDone(now time.Time, done objectapi.CallResult, out *Output) {
	object := done.Reply.Object
	switch {
	case done.Err == nil:
		s.takeover.last.Version = object.Version
		s.takeover.last.Value = bytes.Clone(s.takeover.last.Value)
		s.takeover.last.Value[sealedOffset] = 1
		s.afterSeal(now, out)
	case object.Version == 0:
		s.stepDown(now, "seal", out)
	default:
		s.takeover.last = object
		s.seal(now, out)
	}
}

// afterSeal reads all slots, or replays only the sealed one if the others were already replayed.
func (s *Shard) afterSeal(now time.Time, out *Output) {
	if !s.takeover.replayed {
		s.readPage(out)
		return
	}
	if s.replay(now, s.takeover.last, out) {
		s.createTail(out)
	}
}

func (s *Shard) readPage(out *Output) {
	request := objectapi.Request{
		Op: objectapi.OpList, Kind: objectapi.KindClaim, Name: shardPrefix(s.cfg.Shard), After: s.takeover.cursor, Limit: readPageSlots,
	}
	s.startCall(stageRead, request, out)
}

func (s *Shard) readPageDone(now time.Time, done objectapi.CallResult, out *Output) {
	ended := done.Reply.Next == ""
	for _, object := range done.Reply.Objects {
		if object.Name >= s.takeover.last.Name {
			ended = true
			break
		}
		if !s.replay(now, object, out) {
			return
		}
	}
	if !ended {
		s.takeover.cursor = done.Reply.Next
		s.readPage(out)
		return
	}
	s.takeover.replayed = true
	if s.replay(now, s.takeover.last, out) {
		s.createTail(out)
	}
}

// replay applies the records of a full or sealed slot to the index. It steps down and returns false if the slot is
// malformed.
func (s *Shard) replay(now time.Time, object objectapi.Object, out *Output) bool {
	slot, err := DecodeSlot(object.Value)
	number, nameErr := slotNumber(s.cfg.Shard, object.Name)
	if err != nil || nameErr != nil {
		s.lg.Error("claim slot is malformed", "step", "replay", "name", object.Name)
		s.stepDown(now, "decode", out)
		return false
	}
	s.checkEpoch(slot.Epoch, s.takeover.epoch)
	s.takeover.epoch = max(s.takeover.epoch, slot.Epoch)
	info := slotInfo{number: number, version: object.Version}
	for _, r := range slot.Records {
		s.replayRecord(number, r)
		info.keys = addKey(info.keys, r.Key)
		info.expiry = later(info.expiry, time.UnixMilli(r.ExpiryMs))
	}
	s.olderSlots = append(s.olderSlots, info)
	return true
}

func (s *Shard) replayRecord(number uint64, r Record) {
	s.checkReplay(r)
	s.index[r.Key] = &entry{
		body: r.Body, requestID: r.RequestID, state: r.State, status: int16(r.Status), kept: r.Kept, slot: number,
		expiryMs: r.ExpiryMs, retentionMs: r.ExpiryMs - r.AtMs, durable: true,
	}
}

// createTail creates the slot after the last one, with the next epoch.
func (s *Shard) createTail(out *Output) {
	number := s.takeover.low + 1
	epoch := s.takeover.epoch + 1
	value := Slot{Epoch: epoch, Owner: s.cfg.Incarnation}.encode()
	s.tail = tail{number: number, epoch: epoch, value: value}
	s.startCall(stageCreate, objectapi.Create(objectapi.KindClaim, slotName(s.cfg.Shard, number), value), out)
}

// createDone handles the result of createTail. A conflict with an object of exactly the same bytes means that an earlier
// attempt took effect.
func (s *Shard) createDone(now time.Time, done objectapi.CallResult, out *Output) {
	object := done.Reply.Object
	if done.Err == nil || bytes.Equal(object.Value, s.tail.value) {
		s.tail.version = object.Version
		s.startCall(stageVerify, s.listFirstAfter(s.tail.number), out)
		return
	}
	slot, err := DecodeSlot(object.Value)
	if object.Version == 0 || err != nil || slot.Epoch > s.takeover.epoch {
		s.stepDown(now, "lost the takeover", out)
		return
	}
	// The former owner had created this slot before the seal, so it is now the last one.
	s.takeover.last, s.takeover.low = object, s.tail.number
	s.seal(now, out)
}

// verifyDone handles the list of the slots after the created one, which must be empty. It starts the ownership and
// evaluates the deferred operations.
func (s *Shard) verifyDone(now time.Time, done objectapi.CallResult, out *Output) {
	if done.Err != nil || len(done.Reply.Objects) > 0 {
		s.stepDown(now, "a later slot exists", out)
		return
	}
	s.phase = owning
	s.ownedSince = now
	out.Events = append(out.Events, TookOver)
	s.recordOwnership("took over")
	deferred := s.deferred
	s.deferred = nil
	for _, d := range deferred {
		if d.request != nil {
			s.evaluate(now, *d.request, out)
		} else {
			s.evaluateFinish(now, *d.finish, out)
		}
	}
}

// recordOwnership logs a change of ownership and records it on the timeline.
func (s *Shard) recordOwnership(step string) {
	s.lg.Info("claim shard ownership changed", "step", step, "epoch", s.tail.epoch)
	s.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindClaim, Step: step, Detail: shardPrefix(s.cfg.Shard)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
