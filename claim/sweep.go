package claim

import (
	"errors"
	"time"

	"knapweedhoist/objectapi"
)

// sweep deletes expired slots, oldest first, one at a time and at most one a second.
type sweep struct {
	id     uint64
	nextAt time.Time
}

// sweepSlots starts the deletion of the oldest slot when its records have all been expired for the margin. Slots
// are deleted in order, so that no record is lost while an earlier one of the same key is kept: a claim without
// the release that followed it would look held. The last slot is never deleted: it carries the epoch and the end of
// the numbers in use.
func (s *Shard) sweepSlots(now time.Time, out *Output) {
	if s.sweep.id != 0 || now.Before(s.sweep.nextAt) || len(s.older) == 0 {
		return
	}
	s.sweep.nextAt = now.Add(sweepInterval)
	if now.After(s.older[0].expiry.Add(s.cfg.ExpiryMargin)) {
		s.deleteSlot(s.older[0], out)
	}
}

func (s *Shard) deleteSlot(slot slotInfo, out *Output) {
	s.sweep.id = s.newID()
	request := objectapi.Request{
		Op: objectapi.OpDelete, Kind: objectapi.KindClaim, Name: name(s.cfg.Shard, slot.number),
		Condition: objectapi.Condition{IfVersion: slot.version},
	}
	out.Calls = append(out.Calls, objectapi.Call{ID: s.sweep.id, Request: request})
}

func (s *Shard) swept(done objectapi.Done) {
	s.sweep.id = 0
	if done.Reply.Object.Version != 0 && errors.Is(done.Err, objectapi.ErrConflict) {
		// Another instance sealed the slot again; its records are the same.
		s.older[0].version = done.Reply.Object.Version
		return
	}
	gone := done.Err == nil || errors.Is(done.Err, objectapi.ErrNotFound) || errors.Is(done.Err, objectapi.ErrConflict)
	if !gone {
		return
	}
	for _, key := range s.older[0].keys {
		if e, ok := s.index[key]; ok && e.slot == s.older[0].number && e.pending == nil {
			delete(s.index, key)
		}
	}
	s.older = s.older[1:]
}
