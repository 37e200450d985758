// Package lease keeps leases with fencing numbers in the object API.
//
// Safety. The holder counts its lease from the moment just before it sent the
// last write that took effect and stops one margin before the end. A contender
// counts from the moment at which it received the first reply that showed the
// current version, and takes over after the duration plus one margin. The
// contender's start is never earlier than the holder's, so at least two margins
// lie between the holder's last permit and a takeover, on any clocks whose
// rates differ by less than that.
//
// Remaining window. A holder that is paused between Permit and the first byte
// of the order sends the order late. Endpoints that check fences refuse it once
// they have seen the new fence. Endpoints that ignore fences accept it: two
// holders' orders can overlap there if the pause is longer than the rest of the
// lease plus one margin, which is at least two margins (4 s by default). The
// same holds where the monotonic clock stands still while an instance is
// suspended. Nothing that the sender does can close this window; an order to
// such an endpoint must be harmless when it is repeated or comes late.
package lease

import (
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// maxAttempts bounds the unresolved writes that are remembered. A write that took effect after it was forgotten
// counts as another holder's, which is safe: it is taken over like any other, with a new fence.
const maxAttempts = 64

// Keeper holds, renews, takes over and releases the lease of one duty. The
// control goroutine owns it; it is not safe for concurrent use.
type Keeper struct {
	lg  *slog.Logger
	cfg Config

	candidate bool
	releasing bool
	released  bool

	// seen: the object was read at least once. version and record are its last seen state, version 0 when it
	// does not exist; seenAt is when this version was first seen.
	seen    bool
	version objectapi.Version
	record  Record
	seenAt  time.Time
	// fence is the highest fence ever seen.
	fence uint64

	// mine: record is this incarnation's. heldUntil is when it stops acting; orderFrom is when orders of
	// the former holder have ended.
	mine      bool
	acquired  bool
	heldUntil time.Time
	orderFrom time.Time

	nonce    uint64
	attempts []attempt
	inFlight *call
	nextID   uint64
	nextCall time.Time
}

// NewKeeper returns a Keeper that contends for the lease.
func NewKeeper(lg *slog.Logger, cfg Config) *Keeper {
	cfg = cfg.withDefaults()
	return &Keeper{lg: lg.With("duty", cfg.Duty), cfg: cfg, candidate: true}
}

// SetCandidate tells whether this instance contends for the lease. A holder that is no longer a candidate keeps
// the lease. With few candidates in each fleet the reads for the lease do not grow with the fleet.
func (k *Keeper) SetCandidate(candidate bool) { k.candidate = candidate }

// Held returns the fence when the lease is held at now, with the margin kept.
func (k *Keeper) Held(now time.Time) (uint64, bool) {
	if !k.mine || k.releasing || !now.Before(k.heldUntil) {
		return 0, false
	}
	return k.record.Fence, true
}

// Permit is the check immediately before an order. checksFence tells whether the endpoint refuses old fences; for
// one that does not, orders wait until those of the former holder have ended (ErrWaitingOut).
func (k *Keeper) Permit(now time.Time, checksFence bool) (Permit, error) {
	fence, held := k.Held(now)
	if !held {
		return Permit{}, ErrNotHeld
	}
	if !checksFence && now.Before(k.orderFrom) {
		return Permit{}, ErrWaitingOut
	}
	return Permit{Fence: fence, Timeout: k.cfg.LongestOrder}, nil
}

// Release gives the lease up. The instance stops acting at once; Released follows when the release is stored.
func (k *Keeper) Release(now time.Time) Output {
	k.releasing = true
	return k.Tick(now)
}

// Tick returns the calls that are due. It is called at least every tenth of the duration.
func (k *Keeper) Tick(now time.Time) Output {
	var out Output
	k.noticeExpiry(now, &out)
	if k.inFlight != nil || now.Before(k.nextCall) || k.released {
		return out
	}
	k.act(now, &out)
	return out
}

// Done accepts the result of a call. Each Call needs exactly one Done; a call that was abandoned ends with
// ErrUnavailable.
func (k *Keeper) Done(now time.Time, done objectapi.Done) Output {
	var out Output
	if k.inFlight == nil || k.inFlight.id != done.ID {
		return out
	}
	ended := *k.inFlight
	k.inFlight = nil
	k.nextCall = now.Add(k.pace())
	switch {
	case done.Err == nil && ended.op == objectapi.OpPut:
		// The value of a write is known here; the reply need not repeat it.
		k.observe(now, objectapi.Object{Version: done.Reply.Object.Version, Value: ended.sent.encode()}, &out)
	case done.Err == nil, errors.Is(done.Err, objectapi.ErrConflict):
		k.observe(now, done.Reply.Object, &out)
	case errors.Is(done.Err, objectapi.ErrNotFound):
		k.observe(now, objectapi.Object{}, &out)
	default:
		k.nextCall = now.Add(k.retryPace())
		k.lg.Debug("lease call failed", "step", ended.op.String(), "error", done.Err)
	}
	k.noticeExpiry(now, &out)
	if k.releasing && !k.mine && done.Err == nil {
		k.finishRelease(&out)
	}
	if k.shouldActNow(now, ended, done.Err) {
		k.act(now, &out)
	}
	return out
}

// shouldActNow reports whether the state just read asks for a write without waiting for the next period.
func (k *Keeper) shouldActNow(now time.Time, ended call, err error) bool {
	if err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound) {
		return false
	}
	if k.released || k.releasing {
		return !k.released
	}
	return ended.op == objectapi.OpGet && !k.mine && k.candidate && k.free(now)
}

// act issues the one call that the state asks for.
func (k *Keeper) act(now time.Time, out *Output) {
	switch {
	case k.releasing && !k.mine && len(k.attempts) == 0:
		k.finishRelease(out)
	case k.releasing && k.mine:
		released := k.record
		released.Released = true
		k.write(now, released, out)
	case k.releasing:
		k.read(out) // a takeover of this instance may still have taken effect
	case k.mine:
		k.write(now, k.record, out)
	case !k.candidate:
		// Instances that neither hold the lease nor contend for it make no calls.
	case k.seen && k.free(now):
		k.write(now, k.successor(), out)
	default:
		k.read(out)
	}
}

// free reports whether the lease that was seen may be taken over.
func (k *Keeper) free(now time.Time) bool {
	if k.version == 0 || k.record.Released {
		return true
	}
	return now.Sub(k.seenAt) >= k.record.duration()+k.cfg.Margin
}

// successor is the record of a takeover.
func (k *Keeper) successor() Record {
	return Record{Holder: k.cfg.Holder, Incarnation: k.cfg.Incarnation, Fence: k.fence + 1}
}

func (k *Keeper) write(now time.Time, record Record, out *Output) {
	k.nonce++
	record.Nonce = k.nonce
	record.DurationMs = k.cfg.Duration.Milliseconds()
	request := objectapi.Create(objectapi.KindLease, k.cfg.Duty, record.encode())
	if k.version != 0 {
		request = objectapi.Update(objectapi.KindLease, k.cfg.Duty, k.version, record.encode())
	}
	if len(k.attempts) == maxAttempts {
		k.attempts = k.attempts[1:]
	}
	k.attempts = append(k.attempts, attempt{record: record, sentAt: now})
	k.send(request, record, out)
}

func (k *Keeper) read(out *Output) {
	k.send(objectapi.Get(objectapi.KindLease, k.cfg.Duty), Record{}, out)
}

func (k *Keeper) send(request objectapi.Request, record Record, out *Output) {
	k.nextID++
	k.inFlight = &call{id: k.nextID, op: request.Op, sent: record}
	out.Calls = append(out.Calls, objectapi.Call{ID: k.nextID, Request: request})
}

// observe takes in the object as the platform has it.
func (k *Keeper) observe(now time.Time, object objectapi.Object, out *Output) {
	k.seen = true
	if object.Version == 0 {
		k.observeAbsent(now, out)
		return
	}
	if object.Version <= k.version {
		return
	}
	record, err := decodeRecord(object.Value)
	if err != nil {
		// The fence is unknown, so nobody may take this lease over until an operator has repaired the object.
		k.lg.Error("lease object is malformed", "error", err)
		return
	}
	k.checkSeen(now, record)
	k.version, k.seenAt = object.Version, now
	k.fence = max(k.fence, record.Fence)
	k.adopt(now, record, out)
}

func (k *Keeper) observeAbsent(now time.Time, out *Output) {
	k.version, k.record, k.seenAt = 0, Record{}, now
	k.lose(out)
}

// adopt decides whether the record is this incarnation's and from when its lease counts.
func (k *Keeper) adopt(now time.Time, record Record, out *Output) {
	sent, ok := k.find(record)
	k.record = record
	k.attempts = nil // the object has a new version: no earlier write can take effect any more
	if !ok {
		k.lose(out)
		return
	}
	if record.Released {
		k.mine = false
		k.finishRelease(out)
		return
	}
	k.heldUntil = sent.sentAt.Add(k.cfg.Duration - k.cfg.Margin)
	k.nextCall = sent.sentAt.Add(k.pace())
	if !k.mine {
		k.mine = true
		k.orderFrom = now.Add(k.cfg.LongestOrder)
	}
	if _, held := k.Held(now); held && !k.acquired {
		k.acquired = true
		k.emit(out, Acquired, "acquired")
	}
}

// find returns the write of this incarnation that stored the record.
func (k *Keeper) find(record Record) (attempt, bool) {
	for _, a := range k.attempts {
		if a.record == record {
			return a, true
		}
	}
	return attempt{}, false
}

func (k *Keeper) noticeExpiry(now time.Time, out *Output) {
	if k.acquired && !k.releasing && !now.Before(k.heldUntil) {
		k.acquired = false
		k.emit(out, Lost, "expired")
	}
}

func (k *Keeper) lose(out *Output) {
	k.mine = false
	if k.acquired {
		k.acquired = false
		k.emit(out, Lost, "taken over")
	}
	if k.releasing {
		k.finishRelease(out)
	}
}

func (k *Keeper) finishRelease(out *Output) {
	if k.released {
		return
	}
	k.released, k.acquired = true, false
	k.emit(out, Released, "released")
}

func (k *Keeper) emit(out *Output, kind EventKind, step string) {
	out.Events = append(out.Events, Event{Kind: kind, Fence: k.record.Fence})
	k.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindLease, Step: step, Detail: k.cfg.Duty})
	k.lg.Info("lease changed", "step", step, "fence", k.record.Fence)
}

// pace is the period of renewals, and of reads while another instance holds the lease.
func (k *Keeper) pace() time.Duration { return k.cfg.Duration / 3 }

// retryPace is the period of attempts after a failed call; several fit into a margin.
func (k *Keeper) retryPace() time.Duration { return k.cfg.Margin / 4 }
