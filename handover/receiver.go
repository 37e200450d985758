package handover

import (
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// ReceiverConfig bounds the copies of other instances.
type ReceiverConfig struct {
	// MaxCopies is the largest number of copies. Default 8192.
	MaxCopies int
	// MaxBytes bounds bodies and tokens of all copies, in bytes. Default 128 MiB.
	MaxBytes int
	// TakeOverDelay is the wait after a broken session before the copies of an announced
	// departure are taken over, so that a home that lives can connect again. Default 2 s.
	TakeOverDelay time.Duration
}

// Defaults of ReceiverConfig.
const (
	DefaultMaxCopies     = 8192
	DefaultMaxBytes      = 128 << 20
	DefaultTakeOverDelay = 2 * time.Second
)

func (c ReceiverConfig) withDefaults() ReceiverConfig {
	if c.MaxCopies == 0 {
		c.MaxCopies = DefaultMaxCopies
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.TakeOverDelay == 0 {
		c.TakeOverDelay = DefaultTakeOverDelay
	}
	return c
}

// takenKept is how long a taken request is remembered, so that a former home
// that still lives learns of its new owner.
const takenKept = 2 * time.Minute

// Receiver holds the copies of leaving instances. It is not safe for concurrent use.
type Receiver struct {
	self  string
	cfg   ReceiverConfig
	check invariant.Checker

	leaving bool
	copies  map[string]*held
	// sequence numbers the copies, so that decisions do not depend on the map's order.
	sequence uint64
	bytes    int
	// taken are the times at which requests were taken over.
	taken   map[string]time.Time
	homes   map[string]*homeState
	now     time.Time
	actions []Action
}

// held is the copy of one request.
type held struct {
	home     string
	state    *wire.RequestState
	size     int
	sequence uint64
}

// NewReceiver returns the receiving side of the instance with this incarnation.
func NewReceiver(self string, cfg ReceiverConfig, check invariant.Checker) *Receiver {
	return &Receiver{
		self: self, cfg: cfg.withDefaults(), check: check,
		copies: make(map[string]*held), taken: make(map[string]time.Time), homes: make(map[string]*homeState),
	}
}

// begin starts the handling of an event.
func (r *Receiver) begin(now time.Time) {
	r.now = now
	r.actions = nil
}

// Copy takes a copy. It replaces an earlier one.
func (r *Receiver) Copy(now time.Time, message *wire.HandoverCopy) (CopyError, []Action) {
	r.begin(now)
	state := message.GetState()
	id := state.GetId()
	if _, err := request.ParseID(id); err != nil {
		return CopyRefused, nil
	}
	if _, taken := r.taken[id]; taken {
		return CopyOwned, nil
	}
	r.heard(message.GetFrom())
	size := proto.Size(state)
	if r.leaving || !r.enterEpoch(message.GetFrom(), message.GetEpoch()) || r.full(id, size) {
		return CopyRefused, nil
	}
	r.put(id, &held{home: message.GetFrom(), state: state, size: size})
	r.keepFinished(now, id)
	return CopyTaken, r.actions
}

func (r *Receiver) put(id string, copied *held) {
	r.forget(id)
	r.sequence++
	copied.sequence = r.sequence
	r.copies[id] = copied
	r.bytes += copied.size
}

// Events appends events to a copy.
func (r *Receiver) Events(now time.Time, from string, message *wire.HandoverEvents) (CopyError, []Action) {
	r.begin(now)
	id := message.GetId()
	if _, taken := r.taken[id]; taken {
		return CopyOwned, nil
	}
	r.heard(from)
	copied := r.copies[id]
	if copied == nil || copied.home != from || message.GetFirst() != position(copied.state)+1 {
		return CopyGap, nil
	}
	r.appendTo(copied, message)
	r.keepFinished(now, id)
	return CopyTaken, r.actions
}

func (r *Receiver) appendTo(copied *held, message *wire.HandoverEvents) {
	state := copied.state
	state.Tokens = append(state.Tokens, message.GetTokens()...)
	state.Attempt = max(state.GetAttempt(), message.GetAttempt())
	state.Sent = state.GetSent() || message.GetSent()
	if message.GetFinished() {
		state.Finished = true
		state.FinishReason = message.GetFinishReason()
		state.Finish = message.GetFinish()
	}
	grown := proto.Size(message)
	r.bytes += grown
	copied.size += grown
}

// keepFinished takes a finished request over at once: nothing can be sent for
// it any more, and callers can re-attach here.
func (r *Receiver) keepFinished(now time.Time, id string) {
	if r.copies[id].state.GetFinished() {
		r.takeOver(now, id)
	}
}

// Release makes this instance the owner of copied requests. It returns CopyGap
// when one of them is neither here as a copy nor taken over: a late announcement
// of another successor makes the copies of a home stale.
func (r *Receiver) Release(now time.Time, message *wire.HandoverRelease) (CopyError, []Action) {
	r.begin(now)
	r.heard(message.GetFrom())
	result := CopyTaken
	for _, id := range message.GetIds() {
		if copied := r.copies[id]; copied != nil && copied.home == message.GetFrom() {
			r.takeOver(now, id)
		} else if _, taken := r.taken[id]; !taken {
			result = CopyGap
		}
	}
	return result, r.actions
}

// Drop discards copies of the home.
func (r *Receiver) Drop(from string, message *wire.HandoverDrop) {
	for _, id := range message.GetIds() {
		if copied := r.copies[id]; copied != nil && copied.home == from {
			r.forget(id)
		}
	}
}

// Announced tells which successor a leaving home named last. Copies of a home
// that chose another one are stale: its death must not make this instance
// continue from an old position.
func (r *Receiver) Announced(now time.Time, home, successor string) {
	state := r.home(home, now)
	state.announced = true
	state.successor = successor
	if successor != r.self {
		r.forgetHome(home)
	}
}

// HomeDead takes over the copies of a home whose heartbeats stopped. Only
// leaving instances make copies, so that its departure was announced.
func (r *Receiver) HomeDead(now time.Time, home string) []Action {
	r.begin(now)
	r.takeOverAll(now, home)
	return r.actions
}

// SessionBroken tells that the session with a home broke. Its copies are taken
// over at a later Tick, unless it is heard again before.
func (r *Receiver) SessionBroken(now time.Time, home string) {
	if state := r.home(home, now); state.deadAt.IsZero() {
		state.deadAt = now.Add(r.cfg.TakeOverDelay)
	}
}

// SelfLeaving refuses new copies, because this instance is leaving itself.
func (r *Receiver) SelfLeaving() {
	r.leaving = true
}

// Tick takes over the copies of homes whose session stayed broken.
func (r *Receiver) Tick(now time.Time) []Action {
	r.begin(now)
	for _, home := range r.due(now) {
		r.takeOverAll(now, home)
	}
	r.expire(now)
	return r.actions
}

// Holds reports whether a copy is here that was not taken over yet.
func (r *Receiver) Holds(id string) bool {
	return r.copies[id] != nil
}

// Copies returns the number of copies and their size in bytes.
func (r *Receiver) Copies() (count, bytes int) {
	return len(r.copies), r.bytes
}
