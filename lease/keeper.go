// Package lease implements leases with fencing tokens that are stored in the
// object API. Packages control and duty run one Keeper for each lease. The holder
// of a lease runs a duty: it sends orders, which are calls that only the holder may
// make, each with the fencing token of the lease.
//
// Safety. The holder counts the lease duration from the time just before it sent
// the last write that took effect, and sends no orders from one margin before the
// end. A contender counts from the time at which it received the first reply with
// the current version, and takes over after the duration plus one margin. The
// contender never starts to count before the holder does, so at least two margins
// lie between the holder's last permit and a takeover, less the time by which the
// two clocks drift apart meanwhile.
//
// Returns of the store. The store may return from an older copy, which takes back
// leases and gives their versions out again; the era of its answers then rises. A
// fencing token contains the era in which it was made, so that no token of a lost
// lease is used again. A lease is held only in that era: the holder sends no order
// once this instance has seen a higher one, and a write that takes effect in
// another era than that of its token gives no lease. Until the new era has a
// lease of its own, the stored record may not show who held the lease last. That
// holder's last write was sent before the return, and so before any instance sees
// the new era. A contender therefore takes over the duration plus one margin after
// it first saw the era, whatever the record says. Only an instance that itself
// holds the lease when it sees the era rise may take it in the new era at once, as
// long as it would have held it: every other instance waits until later. In an era
// that has a lease of its own, its record shows the holder as before; a late write
// of an earlier era may replace it, after which the wait counts from the
// first reply with that write. An answer of an older era, or of none after one with
// an era, changes nothing.
//
// Remaining window. A holder that is paused between Permit and the first byte of
// the order sends the order late. Endpoints that check fencing tokens refuse it
// once they have received the new token. Endpoints that ignore them accept it:
// there the orders of two holders can overlap if the pause is longer than the
// rest of the lease plus one margin, which is at least two margins (4 s by
// default). The same applies where the monotonic clock does not advance while an
// instance is suspended. The sender cannot close this window, so an order to such
// an endpoint must be harmless when it is repeated or delayed.
package lease

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// maxPendingWrites bounds Keeper.pendingWrites; the oldest write is dropped. A write that takes effect after it was dropped
// is treated as another holder's, which is safe: its lease is taken over like any other, with a new fencing token.
const maxPendingWrites = 64

// Keeper acquires, renews and releases the lease of one duty. It makes no calls
// itself: the caller makes the calls of each Output. It is not safe for
// concurrent use: the control goroutine owns the Keepers of package control, and
// a mutex guards the one of package duty.
type Keeper struct {
	lg  *slog.Logger
	cfg Config

	// candidate reports whether this instance contends for the lease.
	candidate bool
	// releasing is set by Release, released once Released was emitted.
	releasing bool
	released  bool

	// objectRead reports whether the object was read at least once. version and record are its last observed state,
	// version 0 when it does not exist; versionReadAt is when this version was first read.
	objectRead    bool
	version       objectapi.Version
	record        Record
	versionReadAt time.Time
	// fence is the highest fencing token observed.
	fence uint64
	// era is the highest era of the store that this instance has seen, eraSeenAt when the keeper was told of it. Records and
	// versions are of this era.
	era       objectapi.Era
	eraSeenAt time.Time
	// retakeUntil is the time until which this instance may take the lease without a wait while the era has no lease of its own:
	// it held the lease when it saw the era rise, and no other instance can hold it before.
	retakeUntil time.Time

	// ownsRecord reports whether this incarnation wrote record. acquired reports whether Acquired was emitted and neither
	// Lost nor Released since. heldUntil is when the holder stops sending orders; ordersAllowedFrom is when no order of
	// the former holder can be in flight any more.
	ownsRecord        bool
	acquired          bool
	heldUntil         time.Time
	ordersAllowedFrom time.Time

	// fenceAbove is the fencing token that the next renewal must exceed, see RaiseFence.
	fenceAbove uint64

	nonce uint64
	// pendingWrites has the writes of this incarnation that may have taken effect, oldest first.
	pendingWrites []pendingWrite
	inFlight      *pendingCall
	nextID        uint64
	nextCallAt    time.Time
}

// NewKeeper returns a Keeper that contends for the lease.
func NewKeeper(lg *slog.Logger, cfg Config) *Keeper {
	cfg = cfg.withDefaults()
	return &Keeper{lg: lg.With("duty", cfg.Duty), cfg: cfg, candidate: true}
}

// SetCandidate sets whether this instance contends for the lease. A holder that is no longer a candidate keeps the
// lease. With few candidates in each fleet, the number of reads of the lease does not grow with the fleet.
func (k *Keeper) SetCandidate(candidate bool) { k.candidate = candidate }

// Held returns the fencing token if this instance holds the lease at now and it does not expire within the margin. The token
// is of the highest era that ObserveEra and Done were told of.
func (k *Keeper) Held(now time.Time) (uint64, bool) {
	if !k.ownsRecord || k.releasing || !now.Before(k.heldUntil) || !k.ofEra(k.record) {
		return 0, false
	}
	return k.record.Fence, true
}

// Permit must be called immediately before each order. checksFence reports whether the endpoint refuses outdated
// fencing tokens; for an endpoint that does not, Permit returns ErrFormerOrdersInFlight until no order of the former
// holder can be in flight. It returns ErrNotHeld while the lease is not held.
func (k *Keeper) Permit(now time.Time, checksFence bool) (Permit, error) {
	fence, held := k.Held(now)
	if !held {
		return Permit{}, ErrNotHeld
	}
	if !checksFence && now.Before(k.ordersAllowedFrom) {
		return Permit{}, ErrFormerOrdersInFlight
	}
	return Permit{Fence: fence, Timeout: k.cfg.MaxOrderDuration}, nil
}

// RaiseFence makes the next renewal store a higher fencing token. The holder calls it after an order without an answer to
// an endpoint that checks fencing tokens: the endpoint refuses that order if it carries it out after one with the new
// token.
func (k *Keeper) RaiseFence() { k.fenceAbove = k.fence }

// ofEra reports whether the token of a record was made in the present era. A store that names no era has only one.
func (k *Keeper) ofEra(record Record) bool { return k.era == 0 || fenceEra(record.Fence) == k.era }

// Era returns the highest era of the store that the keeper was told of.
func (k *Keeper) Era() objectapi.Era { return k.era }

// ObserveEra processes the highest era of the store that any call of this instance has seen. At a rise the keeper forgets
// what it has read and written, and reads the lease again.
func (k *Keeper) ObserveEra(now time.Time, era objectapi.Era) Output {
	var out Output
	k.observeEra(now, era, &out)
	return out
}

// observeEra reports whether the era rose.
func (k *Keeper) observeEra(now time.Time, era objectapi.Era, out *Output) bool {
	if era <= k.era {
		return false
	}
	if _, held := k.Held(now); held {
		k.retakeUntil = k.heldUntil
	}
	k.lg.Info("lease read again in a new era", "era", era, "former_era", k.era, "fence", k.record.Fence, "version", k.version,
		"acquired", k.acquired, "pending_writes", len(k.pendingWrites), "retake_ms", max(0, k.retakeUntil.Sub(now)).Milliseconds())
	k.pendingWrites = nil
	k.loseLease(out, "era of the store rose")
	k.era, k.eraSeenAt = era, now
	k.objectRead, k.version, k.record = false, 0, Record{}
	k.nextCallAt = now
	return true
}

// Release starts to release the lease. Held and Permit fail from now on; Released is emitted when the release is
// stored.
func (k *Keeper) Release(now time.Time) Output {
	k.releasing = true
	return k.Tick(now)
}

// Tick returns the calls that are due. It must be called at least every tenth of the duration.
func (k *Keeper) Tick(now time.Time) Output {
	var out Output
	k.checkExpiry(now, &out)
	if k.inFlight != nil || now.Before(k.nextCallAt) || k.released {
		return out
	}
	k.issueCall(now, &out)
	return out
}

// Done processes the result of a call; its reply has the era of the store also beside an error. It must be called exactly once for each Call, with ErrUnavailable for a call
// that was abandoned.
func (k *Keeper) Done(now time.Time, done objectapi.CallResult) Output {
	var out Output
	if k.inFlight == nil || k.inFlight.id != done.ID {
		return out
	}
	completed := *k.inFlight
	k.inFlight = nil
	rose := k.observeEra(now, done.Reply.Era, &out)
	err := k.resultError(done)
	k.nextCallAt = now.Add(k.callInterval())
	switch {
	case err == nil && completed.op == objectapi.OpPut:
		// The reply to a write need not contain the value: it is the one that was sent.
		k.observeObject(now, objectapi.Object{Version: done.Reply.Object.Version, Value: completed.record.encode()}, &out)
	case err == nil, errors.Is(err, objectapi.ErrConflict):
		k.observeObject(now, done.Reply.Object, &out)
	case errors.Is(err, objectapi.ErrNotFound):
		k.observeObject(now, objectapi.Object{}, &out)
	default:
		k.nextCallAt = now.Add(k.retryInterval())
		k.lg.Debug("lease call failed", "step", completed.op.String(), "error", err)
	}
	k.checkExpiry(now, &out)
	if k.releasing && !k.ownsRecord && err == nil {
		k.finishRelease(&out)
	}
	if k.shouldCallNow(now, rose || completed.op == objectapi.OpGet, err) {
		k.issueCall(now, &out)
	}
	k.callAtTakeover(now)
	return out
}

// resultError returns the error of a call. A reply of another era than the present one tells nothing about the lease, not even
// whether a write took effect.
func (k *Keeper) resultError(done objectapi.CallResult) error {
	if done.Reply.Era != k.era {
		return fmt.Errorf("%w: reply of era %d in era %d: %s", objectapi.ErrUnavailable, done.Reply.Era, k.era, fmt.Sprint(done.Err))
	}
	return done.Err
}

// callAtTakeover brings the next call of a contender forward to the time from which it may take the lease over.
func (k *Keeper) callAtTakeover(now time.Time) {
	if k.inFlight != nil || !k.objectRead || k.ownsRecord || !k.contends(now) {
		return
	}
	if from := k.takeoverFrom(now); from.After(now) && from.Before(k.nextCallAt) {
		k.nextCallAt = from
	}
}

// shouldCallNow reports whether the state just read requires a call before the next period. wasRead reports whether the state
// was not known before.
func (k *Keeper) shouldCallNow(now time.Time, wasRead bool, err error) bool {
	if err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound) {
		return false
	}
	if k.released || k.releasing {
		return !k.released
	}
	return wasRead && !k.ownsRecord && k.contends(now) && k.canTakeOver(now)
}

// contends reports whether this instance takes the lease over when it can. A holder keeps contending after a return of the
// store, like one that keeps the lease when it is no longer a candidate.
func (k *Keeper) contends(now time.Time) bool { return k.candidate || now.Before(k.retakeUntil) }

// issueCall issues the call that the current state requires, if any. It finishes a release that requires no more calls.
func (k *Keeper) issueCall(now time.Time, out *Output) {
	switch {
	case k.releasing && !k.ownsRecord && len(k.pendingWrites) == 0:
		k.finishRelease(out)
	case k.releasing && k.ownsRecord:
		released := k.record
		released.Released = true
		k.write(now, released, out)
	case k.releasing:
		k.read(out) // an earlier takeover by this instance may have taken effect
	case k.ownsRecord:
		k.write(now, k.renewedRecord(), out)
	case !k.contends(now):
		// Instances that neither hold the lease nor contend for it make no calls.
	case k.objectRead && k.canTakeOver(now):
		k.write(now, k.takeoverRecord(), out)
	default:
		k.read(out)
	}
}

// canTakeOver reports whether the observed lease may be taken over.
func (k *Keeper) canTakeOver(now time.Time) bool { return !now.Before(k.takeoverFrom(now)) }

// takeoverFrom returns the time from which the observed lease may be taken over: now if it is absent or released, else when it has
// been expired for a margin. The same wait holds for a lease that a return of the store may have taken back.
func (k *Keeper) takeoverFrom(now time.Time) time.Time {
	free := k.version == 0 || k.record.Released
	if k.era == 0 || k.version != 0 && k.ofEra(k.record) {
		if free {
			return now
		}
		return k.versionReadAt.Add(k.record.duration() + k.cfg.Margin)
	}
	if now.Before(k.retakeUntil) {
		return now
	}
	// The record, released or not, may be a late write of an earlier era that has replaced the lease of this one.
	since := k.versionReadAt
	if k.version == 0 {
		since = k.eraSeenAt
	}
	return since.Add(max(k.cfg.Duration, k.record.duration()) + k.cfg.Margin)
}

// renewedRecord returns the record that a renewal stores.
func (k *Keeper) renewedRecord() Record {
	record := k.record
	if record.Fence <= k.fenceAbove {
		record.Fence = nextFence(k.fence, k.era, k.version)
	}
	return record
}

// takeoverRecord returns the record that a takeover stores.
func (k *Keeper) takeoverRecord() Record {
	return Record{Holder: k.cfg.Holder, Incarnation: k.cfg.Incarnation, Fence: nextFence(k.fence, k.era, k.version)}
}

// write issues a conditional write of record and adds it to the pending writes.
func (k *Keeper) write(now time.Time, record Record, out *Output) {
	k.nonce++
	record.Nonce = k.nonce
	record.DurationMs = k.cfg.Duration.Milliseconds()
	request := objectapi.Create(objectapi.KindLease, k.cfg.Duty, record.encode())
	if k.version != 0 {
		request = objectapi.Update(objectapi.KindLease, k.cfg.Duty, k.version, record.encode())
	}
	if len(k.pendingWrites) == maxPendingWrites {
		k.pendingWrites = k.pendingWrites[1:]
	}
	k.pendingWrites = append(k.pendingWrites, pendingWrite{record: record, sentAt: now})
	k.send(request, record, out)
}

// read issues a read of the lease object.
func (k *Keeper) read(out *Output) {
	k.send(objectapi.Get(objectapi.KindLease, k.cfg.Duty), Record{}, out)
}

func (k *Keeper) send(request objectapi.Request, record Record, out *Output) {
	k.nextID++
	k.inFlight = &pendingCall{id: k.nextID, op: request.Op, record: record}
	out.Calls = append(out.Calls, objectapi.Call{ID: k.nextID, Request: request})
}

// observeObject updates the state from the stored object. Versions that are not newer than the last observed one are
// ignored.
func (k *Keeper) observeObject(now time.Time, object objectapi.Object, out *Output) {
	k.objectRead = true
	if object.Version == 0 {
		k.observeAbsent(now, out)
		return
	}
	if object.Version <= k.version {
		return
	}
	record, err := decodeRecord(object.Value)
	if err != nil {
		// The fencing token is unknown, so no instance may take the lease over until an operator has repaired the object.
		k.lg.Error("lease object cannot be decoded; no takeover until it is repaired", "error", err)
		return
	}
	k.checkObserved(now, record)
	k.version, k.versionReadAt = object.Version, now
	k.fence = max(k.fence, record.Fence)
	k.applyRecord(now, record, out)
}

func (k *Keeper) observeAbsent(now time.Time, out *Output) {
	k.version, k.record, k.versionReadAt = 0, Record{}, now
	k.loseLease(out, "taken over")
}

// applyRecord stores an observed record. If this incarnation wrote it, the lease counts from the time just before that
// write was sent.
func (k *Keeper) applyRecord(now time.Time, record Record, out *Output) {
	write, ok := k.findWrite(record)
	k.record = record
	k.pendingWrites = nil // the object has a new version, so no earlier write can take effect any more
	if !ok {
		k.loseLease(out, "taken over")
		return
	}
	if record.Released {
		k.ownsRecord = false
		k.finishRelease(out)
		return
	}
	k.heldUntil = write.sentAt.Add(k.cfg.Duration - k.cfg.Margin)
	k.nextCallAt = write.sentAt.Add(k.callInterval())
	if !k.ownsRecord {
		k.ownsRecord = true
		k.ordersAllowedFrom = now.Add(k.cfg.MaxOrderDuration)
	}
	if _, held := k.Held(now); held && !k.acquired {
		k.acquired = true
		k.emit(out, Acquired, "acquired")
	}
}

// findWrite returns the pending write that stored record.
func (k *Keeper) findWrite(record Record) (pendingWrite, bool) {
	for _, write := range k.pendingWrites {
		if write.record == record {
			return write, true
		}
	}
	return pendingWrite{}, false
}

// checkExpiry emits Lost when the lease has expired at this instance.
func (k *Keeper) checkExpiry(now time.Time, out *Output) {
	if k.acquired && !k.releasing && !now.Before(k.heldUntil) {
		k.acquired = false
		k.emit(out, Lost, "expired")
	}
}

// loseLease records that this incarnation no longer holds the lease. step is the reason.
func (k *Keeper) loseLease(out *Output, step string) {
	k.ownsRecord = false
	if k.acquired {
		k.acquired = false
		k.emit(out, Lost, step)
	}
	if k.releasing {
		k.finishRelease(out)
	}
}

// finishRelease emits Released, once.
func (k *Keeper) finishRelease(out *Output) {
	if k.released {
		return
	}
	k.released, k.acquired = true, false
	k.emit(out, Released, "released")
}

// emit adds an event to out and records it in the timeline and the log.
func (k *Keeper) emit(out *Output, kind EventKind, step string) {
	event := Event{Kind: kind, Fence: k.record.Fence, Version: k.version, Era: k.era}
	out.Events = append(out.Events, event)
	k.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindLease, Step: step, Detail: k.cfg.Duty})
	k.lg.Info("lease changed", "step", step, "fence", event.Fence, "version", event.Version, "era", event.Era)
}

// callInterval returns the period of renewals, and of reads while another instance holds the lease.
func (k *Keeper) callInterval() time.Duration { return k.cfg.Duration / 3 }

// retryInterval returns the pause after a failed call; several retries fit into one margin.
func (k *Keeper) retryInterval() time.Duration { return k.cfg.Margin / 4 }
