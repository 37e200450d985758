package claim

import (
	"bytes"
	"fmt"

	"knapweedhoist/invariant"
)

// Names of the invariants that a Shard checks.
const (
	// InvariantGrantDurable requires that a claim is granted only after the platform has confirmed its record.
	InvariantGrantDurable = "claim/granted_before_durable"
	// InvariantGrantOnce requires that a key is granted to at most one request until it is released or has expired.
	InvariantGrantOnce = "claim/granted_twice"
	// InvariantOneHolder requires that no record of the log claims a key that another request holds or has finished, before
	// that claim has expired.
	InvariantOneHolder = "claim/log_claimed_twice"
	// InvariantEpochOrder requires that epochs never decrease along the log.
	InvariantEpochOrder = "claim/epoch_order"
	// InvariantSlotSize requires that a slot has at most MaxSlotBytes.
	InvariantSlotSize = "claim/slot_size"
	// InvariantOneWrite requires that at most one log call is in flight.
	InvariantOneWrite = "claim/one_write"
)

func (s *Shard) checkGrant(req Request, e *entry, o *op) {
	held := e.durable && e.state == StateClaimed && e.requestID == req.RequestID && s.phase == owning
	// The record must also be in the bytes that the platform has confirmed: the durable flag alone is not enough.
	stored := o == nil || (s.resultCertain && bytes.Contains(s.tail.value, o.record.appendTo(nil)))
	s.check(held && stored, InvariantGrantDurable, req.RequestID, "key %x", req.Key)
	s.check(e.grantedTo == "" || e.grantedTo == req.RequestID, InvariantGrantOnce, req.RequestID, "key %x has %s", req.Key, e.grantedTo)
}

func (s *Shard) checkReplay(r Record) {
	e, known := s.index[r.Key]
	if !known || r.State != StateClaimed || e.state == StateReleased || e.requestID == r.RequestID {
		return
	}
	expired := r.AtMs > e.expiryMs
	s.check(expired, InvariantOneHolder, r.RequestID, "key %x is held by %s", r.Key, e.requestID)
}

func (s *Shard) checkEpoch(next, last uint64) {
	s.check(next >= last, InvariantEpochOrder, "", "epoch %d after %d", next, last)
}

func (s *Shard) checkSize(value []byte) {
	s.check(len(value) <= MaxSlotBytes, InvariantSlotSize, "", "%d bytes", len(value))
}

func (s *Shard) checkWrite() {
	s.check(!s.logCall.inFlight, InvariantOneWrite, "", "stage %d", s.logCall.stage)
}

func (s *Shard) check(ok bool, invariantName, request, format string, args ...any) {
	if ok || s.cfg.Checker == nil {
		return
	}
	s.cfg.Checker.Violated(invariant.Violation{
		Name: invariantName, Step: "shard " + shardPrefix(s.cfg.Shard), Request: request, Detail: fmt.Sprintf(format, args...),
	})
}
