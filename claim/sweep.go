package claim

import (
	"errors"
	"time"

	"knapweedhoist/objectapi"
)

// sweep is the state of the deletion of expired slots: oldest first, one at a time and at most one per second.
type sweep struct {
	// callID is the ID of the delete in flight, 0 if there is none.
	callID uint64
	nextAt time.Time
}

// sweepSlots starts the deletion of the oldest slot when all its records have been expired for longer than the margin.
// Slots are deleted in order, so that no record is lost while an earlier one of the same key is kept: a claim without the
// release that followed it would look held. The last slot is never deleted, because it holds the epoch and the highest
// slot number in use.
func (s *Shard) sweepSlots(now time.Time, out *Output) {
	if s.sweep.callID != 0 || now.Before(s.sweep.nextAt) || len(s.olderSlots) == 0 {
		return
	}
	s.sweep.nextAt = now.Add(sweepInterval)
	if now.After(s.olderSlots[0].expiry.Add(s.cfg.ExpiryMargin)) {
		s.deleteSlot(s.olderSlots[0], out)
	}
}

func (s *Shard) deleteSlot(slot slotInfo, out *Output) {
	s.sweep.callID = s.newCallID()
	request := objectapi.Request{
		Op: objectapi.OpDelete, Kind: objectapi.KindClaim, Name: slotName(s.cfg.Shard, slot.number),
		Condition: objectapi.Condition{IfVersion: slot.version},
	}
	out.Calls = append(out.Calls, objectapi.Call{ID: s.sweep.callID, Request: request})
}

func (s *Shard) sweepDone(done objectapi.CallResult) {
	s.sweep.callID = 0
	if done.Reply.Object.Version != 0 && errors.Is(done.Err, objectapi.ErrConflict) {
		// Another instance sealed the slot meanwhile, which changed its version but not its records.
		s.olderSlots[0].version = done.Reply.Object.Version
		return
	}
	deleted := done.Err == nil || errors.Is(done.Err, objectapi.ErrNotFound) || errors.Is(done.Err, objectapi.ErrConflict)
	if !deleted {
		return
	}
	for _, key := range s.olderSlots[0].keys {
		if e, ok := s.index[key]; ok && e.slot == s.olderSlots[0].number && e.pending == nil {
			delete(s.index, key)
		}
	}
	s.olderSlots = s.olderSlots[1:]
}
