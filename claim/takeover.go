package claim

import (
	"bytes"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// takeover is the state of taking the log over: find the last slot, seal it,
// read all slots, create the next one, and read that no later one exists.
type takeover struct {
	// low is the highest slot found; no slot is after high, when high is set. probe is the number last asked for.
	low, high, probe, step uint64
	bounded                bool
	last                   objectapi.Object
	cursor                 string
	read                   bool
	epoch                  uint64
}

func (s *Shard) startTakeover(_ time.Time, out *Output) {
	s.phase = takingOver
	s.take = takeover{}
	s.index = make(map[Hash]*entry)
	s.reads = make(map[uint64]read)
	s.issue(stageLocate, s.listAfter(0), out)
}

// located searches for the last slot: steps that double, then bisection. Slots
// may be missing between the first and the last one, because expired slots are deleted.
func (s *Shard) located(now time.Time, done objectapi.Done, out *Output) {
	t := &s.take
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
		s.take.read = true
		s.create(out)
	case t.bounded && t.low >= t.high:
		s.seal(now, out)
	default:
		s.probe(out)
	}
}

func (s *Shard) probe(out *Output) {
	t := &s.take
	if t.bounded {
		t.probe = (t.low + t.high) / 2
	} else {
		t.probe = t.low + t.step
		t.step = max(1, 2*t.step)
	}
	s.issue(stageLocate, s.listAfter(t.probe), out)
}

// seal makes the last slot final; a former owner's next append fails.
func (s *Shard) seal(now time.Time, out *Output) {
	slot, err := DecodeSlot(s.take.last.Value)
	if err != nil {
		s.stepDown(now, "decode", out)
		return
	}
	if slot.Sealed {
		s.afterSeal(now, out)
		return
	}
	value := bytes.Clone(s.take.last.Value)
	value[sealedOffset] = 1
	s.issue(stageSeal, objectapi.Update(objectapi.KindClaim, s.take.last.Name, s.take.last.Version, value), out)
}

func (s *Shard) sealed(now time.Time, done objectapi.Done, out *Output) {
	object := done.Reply.Object
	switch {
	case done.Err == nil:
		s.take.last.Version = object.Version
		s.take.last.Value = bytes.Clone(s.take.last.Value)
		s.take.last.Value[sealedOffset] = 1
		s.afterSeal(now, out)
	case object.Version == 0:
		s.stepDown(now, "seal", out)
	default:
		s.take.last = object
		s.seal(now, out)
	}
}

// afterSeal reads all slots, or only the sealed one when the others were read.
func (s *Shard) afterSeal(now time.Time, out *Output) {
	if !s.take.read {
		s.readPage(out)
		return
	}
	if s.replay(now, s.take.last, out) {
		s.create(out)
	}
}

func (s *Shard) readPage(out *Output) {
	request := objectapi.Request{
		Op: objectapi.OpList, Kind: objectapi.KindClaim, Name: prefix(s.cfg.Shard), After: s.take.cursor, Limit: pageSlots,
	}
	s.issue(stageRead, request, out)
}

func (s *Shard) pageRead(now time.Time, done objectapi.Done, out *Output) {
	ended := done.Reply.Next == ""
	for _, object := range done.Reply.Objects {
		if object.Name >= s.take.last.Name {
			ended = true
			break
		}
		if !s.replay(now, object, out) {
			return
		}
	}
	if !ended {
		s.take.cursor = done.Reply.Next
		s.readPage(out)
		return
	}
	s.take.read = true
	if s.replay(now, s.take.last, out) {
		s.create(out)
	}
}

// replay applies a final slot to the index.
func (s *Shard) replay(now time.Time, object objectapi.Object, out *Output) bool {
	slot, err := DecodeSlot(object.Value)
	number, nameErr := slotNumber(s.cfg.Shard, object.Name)
	if err != nil || nameErr != nil {
		s.lg.Error("slot is malformed", "step", "replay", "name", object.Name)
		s.stepDown(now, "decode", out)
		return false
	}
	s.checkEpoch(slot.Epoch, s.take.epoch)
	s.take.epoch = max(s.take.epoch, slot.Epoch)
	info := slotInfo{number: number, version: object.Version}
	for _, r := range slot.Records {
		s.replayRecord(number, r)
		info.keys = addKey(info.keys, r.Key)
		info.expiry = later(info.expiry, time.UnixMilli(r.ExpiryMs))
	}
	s.older = append(s.older, info)
	return true
}

func (s *Shard) replayRecord(number uint64, r Record) {
	s.checkReplay(r)
	s.index[r.Key] = &entry{
		body: r.Body, requestID: r.RequestID, state: r.State, status: int16(r.Status), kept: r.Kept, slot: number,
		expiryMs: r.ExpiryMs, retentionMs: r.ExpiryMs - r.AtMs, durable: true,
	}
}

func (s *Shard) create(out *Output) {
	number := s.take.low + 1
	epoch := s.take.epoch + 1
	value := Slot{Epoch: epoch, Owner: s.cfg.Incarnation}.encode()
	s.tail = tail{number: number, epoch: epoch, value: value}
	s.issue(stageCreate, objectapi.Create(objectapi.KindClaim, name(s.cfg.Shard, number), value), out)
}

func (s *Shard) created(now time.Time, done objectapi.Done, out *Output) {
	object := done.Reply.Object
	if done.Err == nil || bytes.Equal(object.Value, s.tail.value) {
		s.tail.version = object.Version
		s.issue(stageVerify, s.listAfter(s.tail.number), out)
		return
	}
	slot, err := DecodeSlot(object.Value)
	if object.Version == 0 || err != nil || slot.Epoch > s.take.epoch {
		s.stepDown(now, "lost the takeover", out)
		return
	}
	// The former owner went on to this slot before the seal: it is the last one now.
	s.take.last, s.take.low = object, s.tail.number
	s.seal(now, out)
}

func (s *Shard) verified(now time.Time, done objectapi.Done, out *Output) {
	if done.Err != nil || len(done.Reply.Objects) > 0 {
		s.stepDown(now, "a later slot exists", out)
		return
	}
	s.phase = owning
	s.ownedSince = now
	out.Events = append(out.Events, TookOver)
	s.record("took over")
	queued := s.waiting
	s.waiting = nil
	for _, w := range queued {
		if w.ask != nil {
			s.evaluate(now, *w.ask, out)
		} else {
			s.end(now, *w.finish, out)
		}
	}
}

func (s *Shard) record(step string) {
	s.lg.Info("shard changed hands", "step", step, "epoch", s.tail.epoch)
	s.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindClaim, Step: step, Detail: prefix(s.cfg.Shard)})
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
