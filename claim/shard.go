// Package claim keeps claims of idempotency keys in logs on the object API, so
// that a non-idempotent call runs at most once.
//
// The log of a shard is a row of slot objects of at most 4 KiB. Only the last
// slot is written: appends are conditional updates of it at the version that
// the owner saw. A new owner seals the last slot, reads all slots and creates
// the next one with a higher epoch, so the former owner's next append fails.
// Whoever creates a slot then reads whether a later one exists: a create that
// was delayed until its slot number had been used, expired and deleted is
// found that way, because the last slot is never deleted.
//
// Claims of an instance that is gone stay in the log: nobody else may release
// them, so their keys stay in progress until the retention ends.
package claim

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"knapweedhoist/objectapi"
)

// phase is what the instance does about the shard.
type phase uint8

const (
	idle phase = iota
	backingOff
	takingOver
	owning
)

// Shard is one shard's log at one instance. The control goroutine owns it; it
// is not safe for concurrent use.
type Shard struct {
	lg  *slog.Logger
	cfg Config

	wanted       bool
	phase        phase
	backoffUntil time.Time
	strikes      int
	ownedSince   time.Time

	nextID uint64
	// main is the one call of the takeover or append in progress.
	main *mainCall
	take takeover

	tail  tail
	older []slotInfo
	index map[Hash]*entry

	waiting []waiting
	queue   []*op
	flight  []*op
	// flightNumber, flightValue and flightVersion are the slot as it is after the append in flight.
	flightNumber  uint64
	flightValue   []byte
	flightVersion objectapi.Version
	lastWrite     time.Time
	// confirmed: the platform has confirmed the batch being settled; set where its reply is read, for the assertions.
	confirmed bool

	reads map[uint64]read
	sweep sweep
}

// tail is the last slot as the platform has confirmed it.
type tail struct {
	number  uint64
	epoch   uint64
	version objectapi.Version
	value   []byte
	expiry  time.Time
	keys    []Hash
}

// waiting is an ask or a finish that waits for the end of a takeover.
type waiting struct {
	ask    *Ask
	finish *Finish
}

// NewShard returns the shard's log at an instance that does not own it.
func NewShard(lg *slog.Logger, cfg Config) *Shard {
	return &Shard{lg: lg.With("shard", cfg.Shard), cfg: cfg.withDefaults()}
}

// Owned reports whether this instance owns the log as far as it knows.
func (s *Shard) Owned() bool { return s.phase == owning }

// SetOwner tells whether the membership view makes this instance the owner.
func (s *Shard) SetOwner(now time.Time, owner bool) Output {
	var out Output
	switch {
	case owner == s.wanted:
	case owner:
		s.wanted = true
		s.phase = backingOff // a series of lost takeovers goes on across changes of view
	default:
		s.wanted = false
		s.drop(&out, NotOwner)
		s.phase = idle
	}
	s.step(now, &out)
	return out
}

// Ask asks for the claim of a key. It is answered once, here or in a later
// output. The record is written by a later Tick, so that asks share a write.
func (s *Shard) Ask(now time.Time, ask Ask) Output {
	var out Output
	switch {
	case !s.wanted:
		out.answer(ask.Ref, NotOwner, "")
	case len(ask.RequestID) > MaxRequestIDBytes || s.pending() >= s.cfg.MaxPending:
		out.answer(ask.Ref, Unavailable, "")
	case s.phase != owning:
		s.waiting = append(s.waiting, waiting{ask: &ask})
	default:
		s.evaluate(now, ask, &out)
	}
	return out
}

// Finish reports the end of a claim. It is acknowledged once, here or in a later output.
func (s *Shard) Finish(now time.Time, finish Finish) Output {
	var out Output
	switch {
	case finish.From != Home(finish.RequestID):
		out.ack(finish.Ref, Refused)
	case !s.wanted || s.pending() >= s.cfg.MaxPending:
		out.ack(finish.Ref, Retry)
	case s.phase != owning:
		s.waiting = append(s.waiting, waiting{finish: &finish})
	default:
		s.end(now, finish, &out)
	}
	return out
}

// Tick does what is due. The control goroutine calls it after it has drained
// its events, and at least every 50 ms.
func (s *Shard) Tick(now time.Time) Output {
	var out Output
	s.step(now, &out)
	return out
}

// Done accepts the result of a call. Each Call needs exactly one Done; a call
// that was abandoned ends with ErrUnavailable.
func (s *Shard) Done(now time.Time, done objectapi.Done) Output {
	var out Output
	switch {
	case s.main != nil && s.main.id == done.ID:
		s.confirmed = !transient(done.Err)
		s.mainDone(now, done, &out)
		s.confirmed = false
	case s.sweep.id != 0 && s.sweep.id == done.ID:
		s.swept(done)
	default:
		s.readDone(done, &out)
	}
	return out
}

func (s *Shard) step(now time.Time, out *Output) {
	if !s.wanted {
		return
	}
	s.expireWaiting(now, out)
	s.retryMain(now, out)
	if s.phase == backingOff && !now.Before(s.backoffUntil) {
		s.startTakeover(now, out)
	}
	if s.phase == owning {
		s.append(now, out)
		s.sweepSlots(now, out)
	}
}

func (s *Shard) pending() int { return len(s.waiting) + len(s.queue) + len(s.flight) }

// expireWaiting answers asks whose deadline has passed. What is in flight may still become durable.
func (s *Shard) expireWaiting(now time.Time, out *Output) {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if w.ask != nil && now.After(w.ask.Deadline) {
			out.answer(w.ask.Ref, Unavailable, "")
			continue
		}
		kept = append(kept, w)
	}
	s.waiting = kept
	for _, o := range s.flight {
		o.expireAsks(now, out)
	}
	s.cancelExpired(now, out)
}

// cancelExpired takes claims back that nobody waits for any more and that were not sent.
func (s *Shard) cancelExpired(now time.Time, out *Output) {
	kept := s.queue[:0]
	for _, o := range s.queue {
		o.expireAsks(now, out)
		if o.record.State == StateClaimed && len(o.asks) == 0 {
			s.forget(o)
			continue
		}
		kept = append(kept, o)
	}
	s.queue = kept
}

func (s *Shard) forget(o *op) {
	if s.index[o.record.Key] == o.entry {
		delete(s.index, o.record.Key)
	}
	if o.previous != nil {
		s.index[o.record.Key] = o.previous
	}
}

func (o *op) expireAsks(now time.Time, out *Output) {
	kept := o.asks[:0]
	for _, ask := range o.asks {
		if now.After(ask.Deadline) {
			out.answer(ask.Ref, Unavailable, "")
			continue
		}
		kept = append(kept, ask)
	}
	o.asks = kept
}

// drop ends the ownership: nothing more is granted from what this instance knows.
func (s *Shard) drop(out *Output, verdict Verdict) {
	for _, w := range s.waiting {
		s.turnAway(w, verdict, out)
	}
	for _, o := range append(s.flight, s.queue...) {
		for _, ask := range o.asks {
			out.answer(ask.Ref, verdict, "")
		}
		for _, ref := range o.acks {
			out.ack(ref, Retry)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.reads)) {
		out.answer(s.reads[id].ask.Ref, verdict, "")
	}
	s.main, s.waiting, s.queue, s.flight, s.older = nil, nil, nil, nil, nil
	s.index, s.reads, s.sweep, s.tail = nil, nil, sweep{}, tail{}
}

func (s *Shard) turnAway(w waiting, verdict Verdict, out *Output) {
	if w.ask != nil {
		out.answer(w.ask.Ref, verdict, "")
		return
	}
	out.ack(w.finish.Ref, Retry)
}

// stepDown ends an ownership that another instance has ended, or a takeover that was lost.
func (s *Shard) stepDown(now time.Time, reason string, out *Output) {
	owned := s.phase == owning
	if owned && now.Sub(s.ownedSince) >= backoffReset {
		s.strikes = 0
	}
	s.drop(out, Unavailable)
	s.phase = backingOff
	backoff := min(backoffMax, backoffBase<<min(s.strikes, 10))
	s.strikes++
	s.backoffUntil = now.Add(backoff/2 + time.Duration(s.cfg.Rand.Int63n(int64(backoff))))
	s.lg.Warn("shard given up", "step", reason, "retry_in", s.backoffUntil.Sub(now))
	if owned {
		out.Events = append(out.Events, SteppedDown)
		s.record("stepped down")
	}
}

// transient reports whether the call's outcome is unknown or refused before any effect.
func transient(err error) bool {
	return err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound)
}
