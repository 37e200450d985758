// Package claim stores claims of idempotency keys in write-ahead logs on the
// object API, so that a non-idempotent call runs at most once. Package control
// runs the Shards of an instance and passes the calls in their Outputs on as
// effects.
//
// The log of a shard is a sequence of slot objects of at most 4 KiB. Only the
// last slot is written: an append is a conditional update of the version that
// the owner last read or wrote. A new owner seals the last slot, reads all slots
// and creates the next one with a higher epoch, so the former owner's next
// append fails. After creating a slot, an instance checks that no later one
// exists. This detects a create that was delayed until its slot number had been
// used, expired and deleted, because the last slot is never deleted.
//
// The claims of an instance that has ended stay in the log: no other instance
// may release them, so claim requests for their keys are answered with
// InProgress until the retention ends.
package claim

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"knapweedhoist/objectapi"
)

// phase is the state of the instance's ownership of the shard.
type phase uint8

const (
	idle       phase = iota // the membership view names another owner
	backingOff              // waiting for the next takeover
	takingOver
	owning
)

// Shard is one instance's state machine for the log of one shard. It makes no
// calls itself: the caller executes the Calls of each Output. It is not safe for
// concurrent use: the control goroutine owns it.
type Shard struct {
	lg  *slog.Logger
	cfg Config

	// assigned reports whether the membership view makes this instance the owner.
	assigned     bool
	phase        phase
	backoffUntil time.Time
	// stepDowns counts the ownerships and takeovers lost in a row; the back-off doubles with each.
	stepDowns  int
	ownedSince time.Time

	lastCallID uint64
	// logCall is the call of the takeover or write in progress, nil if there is none.
	logCall  *logCall
	takeover takeover

	tail tail
	// olderSlots holds the slots before the tail, oldest first. index holds the state of each key in the log.
	olderSlots []slotInfo
	index      map[Hash]*entry

	deferred []deferredOp
	// queue holds the operations to write, oldest first; batch holds those of the write in progress.
	queue []*op
	batch []*op
	// appendNumber and appendValue are the number and the new value of the slot that the write in progress creates or
	// updates; appendVersion is its new version once the platform has confirmed the write.
	appendNumber  uint64
	appendValue   []byte
	appendVersion objectapi.Version
	lastWrite     time.Time
	// resultCertain reports whether a log call with a certain result is being handled: a success or a refused condition.
	// Only the invariant checks read it.
	resultCertain bool

	answerReads map[uint64]answerRead
	sweep       sweep
}

// tail is the last slot in the state that the platform last confirmed.
type tail struct {
	number  uint64
	epoch   uint64
	version objectapi.Version
	value   []byte
	expiry  time.Time
	keys    []Hash
}

// deferredOp is a claim request or a finish that waits until this instance owns the log; exactly one of the fields is set.
type deferredOp struct {
	request *Request
	finish  *Finish
}

// NewShard returns a Shard that does not own the log.
func NewShard(lg *slog.Logger, cfg Config) *Shard {
	return &Shard{lg: lg.With("shard", cfg.Shard), cfg: cfg.withDefaults()}
}

// Owned reports whether this instance took the log over and has not detected a takeover by another one.
func (s *Shard) Owned() bool { return s.phase == owning }

// SetOwner sets whether the membership view makes this instance the owner. A new owner starts a takeover after the rest
// of its back-off; an instance that is no longer the owner answers its pending claim requests with NotOwner.
func (s *Shard) SetOwner(now time.Time, owner bool) Output {
	var out Output
	switch {
	case owner == s.assigned:
	case owner:
		s.assigned = true
		s.phase = backingOff // without resetting the back-off: it continues across changes of view
	default:
		s.assigned = false
		s.resetOwnership(&out, NotOwner)
		s.phase = idle
	}
	s.runDue(now, &out)
	return out
}

// Claim requests the claim of a key. It is answered exactly once, in this Output
// or a later one. The record is written by a later Tick, so that several claim
// requests share a write.
func (s *Shard) Claim(now time.Time, req Request) Output {
	var out Output
	switch {
	case !s.assigned:
		out.answer(req.Ref, NotOwner, "")
	case len(req.RequestID) > MaxRequestIDBytes || s.pending() >= s.cfg.MaxPending:
		out.answer(req.Ref, Unavailable, "")
	case s.phase != owning:
		s.deferred = append(s.deferred, deferredOp{request: &req})
	default:
		s.evaluate(now, req, &out)
	}
	return out
}

// Finish reports the end of a claim. It is acknowledged exactly once, in this Output or a later one.
func (s *Shard) Finish(now time.Time, finish Finish) Output {
	var out Output
	switch {
	case finish.From != Home(finish.RequestID):
		out.ack(finish.Ref, Refused)
	case !s.assigned || s.pending() >= s.cfg.MaxPending:
		out.ack(finish.Ref, Retry)
	case s.phase != owning:
		s.deferred = append(s.deferred, deferredOp{finish: &finish})
	default:
		s.evaluateFinish(now, finish, &out)
	}
	return out
}

// Tick expires claim requests and starts the takeover, write, retry or deletion
// that is due. The control goroutine calls it after it has processed its queued
// events, and at least every 50 ms.
func (s *Shard) Tick(now time.Time) Output {
	var out Output
	s.runDue(now, &out)
	return out
}

// Done handles the result of a call. Each Call needs exactly one Done; the caller
// ends an abandoned call with ErrUnavailable.
func (s *Shard) Done(now time.Time, done objectapi.CallResult) Output {
	var out Output
	switch {
	case s.logCall != nil && s.logCall.id == done.ID:
		s.resultCertain = !transient(done.Err)
		s.logCallDone(now, done, &out)
		s.resultCertain = false
	case s.sweep.callID != 0 && s.sweep.callID == done.ID:
		s.sweepDone(done)
	default:
		s.answerReadDone(done, &out)
	}
	return out
}

// runDue does the work of Tick; it does nothing unless this instance is assigned the shard.
func (s *Shard) runDue(now time.Time, out *Output) {
	if !s.assigned {
		return
	}
	s.expireRequests(now, out)
	s.retryLogCall(now, out)
	if s.phase == backingOff && !now.Before(s.backoffUntil) {
		s.startTakeover(now, out)
	}
	if s.phase == owning {
		s.startAppend(now, out)
		s.sweepSlots(now, out)
	}
}

// pending returns the number of operations that wait for a takeover or a write (see Config.MaxPending).
func (s *Shard) pending() int { return len(s.deferred) + len(s.queue) + len(s.batch) }

// expireRequests answers Unavailable to claim requests whose deadline has passed. The records of the batch stay, because
// they may still become durable.
func (s *Shard) expireRequests(now time.Time, out *Output) {
	remaining := s.deferred[:0]
	for _, d := range s.deferred {
		if d.request != nil && now.After(d.request.Deadline) {
			out.answer(d.request.Ref, Unavailable, "")
			continue
		}
		remaining = append(remaining, d)
	}
	s.deferred = remaining
	for _, o := range s.batch {
		o.expireRequests(now, out)
	}
	s.cancelExpiredClaims(now, out)
}

// cancelExpiredClaims removes queued claims whose claim requests have all expired. Their records were not sent.
func (s *Shard) cancelExpiredClaims(now time.Time, out *Output) {
	remaining := s.queue[:0]
	for _, o := range s.queue {
		o.expireRequests(now, out)
		if o.record.State == StateClaimed && len(o.requests) == 0 {
			s.revertIndex(o)
			continue
		}
		remaining = append(remaining, o)
	}
	s.queue = remaining
}

// revertIndex removes the entry of o from the index, or replaces it by the previous one.
func (s *Shard) revertIndex(o *op) {
	if s.index[o.record.Key] == o.entry {
		delete(s.index, o.record.Key)
	}
	if o.previous != nil {
		s.index[o.record.Key] = o.previous
	}
}

// expireRequests answers Unavailable to the claim requests of o whose deadline has passed.
func (o *op) expireRequests(now time.Time, out *Output) {
	remaining := o.requests[:0]
	for _, req := range o.requests {
		if now.After(req.Deadline) {
			out.answer(req.Ref, Unavailable, "")
			continue
		}
		remaining = append(remaining, req)
	}
	o.requests = remaining
}

// resetOwnership answers everything that is pending and clears the copy of the log, so that nothing more is granted from
// it. Claim requests are answered with verdict, finishes with Retry.
func (s *Shard) resetOwnership(out *Output, verdict Verdict) {
	for _, d := range s.deferred {
		s.rejectDeferred(d, verdict, out)
	}
	for _, o := range append(s.batch, s.queue...) {
		for _, req := range o.requests {
			out.answer(req.Ref, verdict, "")
		}
		for _, ref := range o.finishRefs {
			out.ack(ref, Retry)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.answerReads)) {
		out.answer(s.answerReads[id].request.Ref, verdict, "")
	}
	s.logCall, s.deferred, s.queue, s.batch, s.olderSlots = nil, nil, nil, nil, nil
	s.index, s.answerReads, s.sweep, s.tail = nil, nil, sweep{}, tail{}
}

func (s *Shard) rejectDeferred(d deferredOp, verdict Verdict, out *Output) {
	if d.request != nil {
		out.answer(d.request.Ref, verdict, "")
		return
	}
	out.ack(d.finish.Ref, Retry)
}

// stepDown ends an ownership or a takeover that cannot continue, for example because another instance wrote to the log,
// and starts the back-off. reason is logged.
func (s *Shard) stepDown(now time.Time, reason string, out *Output) {
	owned := s.phase == owning
	if owned && now.Sub(s.ownedSince) >= backoffResetAfter {
		s.stepDowns = 0
	}
	s.resetOwnership(out, Unavailable)
	s.phase = backingOff
	backoff := min(backoffMax, backoffBase<<min(s.stepDowns, 10))
	s.stepDowns++
	s.backoffUntil = now.Add(backoff/2 + time.Duration(s.cfg.Rand.Int63n(int64(backoff))))
	s.lg.Warn("shard given up", "step", reason, "retry_in", s.backoffUntil.Sub(now))
	if owned {
		out.Events = append(out.Events, SteppedDown)
		s.recordOwnership("stepped down")
	}
}

// transient reports whether the outcome of the call is unknown, or the call was refused before any effect.
func transient(err error) bool {
	return err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound)
}
