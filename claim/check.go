package claim

import (
	"bytes"
	"fmt"

	"knapweedhoist/invariant"
)

// Names of the asserted invariants.
const (
	// InvariantDurable: a grant follows only a record that the platform has confirmed.
	InvariantDurable = "claim/granted_before_durable"
	// InvariantOnce: between two releases a key is granted to at most one request.
	InvariantOnce = "claim/granted_twice"
	// InvariantLog: in the log no request claims a key that another one holds.
	InvariantLog = "claim/log_claimed_twice"
	// InvariantEpoch: epochs never fall along the log.
	InvariantEpoch = "claim/epoch_order"
	// InvariantSize: a slot has at most MaxSlotBytes.
	InvariantSize = "claim/slot_size"
	// InvariantOneWrite: at most one main call is in flight.
	InvariantOneWrite = "claim/one_write"
)

func (s *Shard) checkGrant(ask Ask, e *entry, o *op) {
	held := e.durable && e.state == StateClaimed && e.requestID == ask.RequestID && s.phase == owning
	// The record is in the bytes that the platform has confirmed, not only marked as durable.
	stored := o == nil || (s.confirmed && bytes.Contains(s.tail.value, o.record.append(nil)))
	s.check(held && stored, InvariantDurable, ask.RequestID, "key %x", ask.Key)
	s.check(e.granted == "" || e.granted == ask.RequestID, InvariantOnce, ask.RequestID, "key %x has %s", ask.Key, e.granted)
}

func (s *Shard) checkReplay(r Record) {
	e, known := s.index[r.Key]
	if !known || r.State != StateClaimed || e.state == StateReleased || e.requestID == r.RequestID {
		return
	}
	expired := r.AtMs > e.expiryMs
	s.check(expired, InvariantLog, r.RequestID, "key %x is held by %s", r.Key, e.requestID)
}

func (s *Shard) checkEpoch(next, last uint64) {
	s.check(next >= last, InvariantEpoch, "", "epoch %d after %d", next, last)
}

func (s *Shard) checkSize(value []byte) {
	s.check(len(value) <= MaxSlotBytes, InvariantSize, "", "%d bytes", len(value))
}

func (s *Shard) checkWrite() {
	s.check(!s.main.inFlight, InvariantOneWrite, "", "stage %d", s.main.stage)
}

func (s *Shard) check(ok bool, invariantName, request, format string, args ...any) {
	if ok || s.cfg.Checker == nil {
		return
	}
	s.cfg.Checker.Violated(invariant.Violation{
		Name: invariantName, Step: "shard " + prefix(s.cfg.Shard), Request: request, Detail: fmt.Sprintf(format, args...),
	})
}
