package handover

import (
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/invariant"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// TargetConfig limits the copies that an instance holds for leaving instances.
type TargetConfig struct {
	// MaxCopies is the maximum number of copies. Default 8192.
	MaxCopies int
	// MaxBytes limits the total encoded size of all copies, in bytes. A new copy that
	// would exceed it is refused. Events appended to a copy count towards the size,
	// but are never refused. Default 128 MiB.
	MaxBytes int
	// TakeOverDelay is the delay between the break of the session with a source and
	// the takeover of its copies, so that a source that is still alive can reconnect.
	// Default 2 s.
	TakeOverDelay time.Duration
}

// Defaults of TargetConfig.
const (
	DefaultMaxCopies     = 8192
	DefaultMaxBytes      = 128 << 20
	DefaultTakeOverDelay = 2 * time.Second
)

func (c TargetConfig) withDefaults() TargetConfig {
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

// takenRetention is how long the id of a request that was taken over is kept, so
// that a former owner that is still alive is answered with CopyOwned.
const takenRetention = 2 * time.Minute

// TargetMachine is the state machine of the receiving instance: it holds the copies
// of leaving instances and decides when to take them over. It is not safe for
// concurrent use.
type TargetMachine struct {
	self  string
	cfg   TargetConfig
	check invariant.Checker

	// leaving is set when this instance itself leaves, so that it refuses new copies.
	leaving bool
	// copies contains the copies by request id.
	copies map[string]*requestCopy
	// sequence numbers the copies, so that decisions do not depend on the map's order.
	sequence uint64
	// bytes is the total size of the copies.
	bytes int
	// takenAt contains the times of takeover by request id.
	takenAt map[string]time.Time
	// sources contains the state of leaving instances by incarnation.
	sources map[string]*sourceState
	// now is the time of the current event.
	now time.Time
	// actions collects the actions of the current event.
	actions []Action
}

// requestCopy is the copy of one request.
type requestCopy struct {
	// source is the incarnation of the leaving instance.
	source string
	state  *wire.RequestState
	// size is the encoded size of the copy and its events, in bytes.
	size     int
	sequence uint64
}

// NewTargetMachine returns the state machine of the instance with incarnation self.
// Zero fields of cfg get their defaults.
func NewTargetMachine(self string, cfg TargetConfig, check invariant.Checker) *TargetMachine {
	return &TargetMachine{
		self: self, cfg: cfg.withDefaults(), check: check,
		copies: make(map[string]*requestCopy), takenAt: make(map[string]time.Time), sources: make(map[string]*sourceState),
	}
}

// beginEvent sets the time of an event and clears the actions of the previous one.
func (m *TargetMachine) beginEvent(now time.Time) {
	m.now = now
	m.actions = nil
}

// AddCopy stores a copy in place of an earlier copy of the same request. It returns
// CopyOwned if the request was taken over already, and CopyRefused if the id is
// invalid, this instance is leaving, the epoch is old, or a limit is reached.
func (m *TargetMachine) AddCopy(now time.Time, message *wire.HandoverCopy) (CopyResult, []Action) {
	m.beginEvent(now)
	state := message.GetState()
	id := state.GetId()
	if _, err := request.ParseID(id); err != nil {
		return CopyRefused, nil
	}
	if _, taken := m.takenAt[id]; taken {
		return CopyOwned, nil
	}
	m.markAlive(message.GetFrom())
	size := proto.Size(state)
	if m.leaving || !m.enterEpoch(message.GetFrom(), message.GetEpoch()) || m.full(id, size) {
		return CopyRefused, nil
	}
	m.storeCopy(id, &requestCopy{source: message.GetFrom(), state: state, size: size})
	m.takeOverFinished(now, id)
	return CopyAccepted, m.actions
}

func (m *TargetMachine) storeCopy(id string, copied *requestCopy) {
	m.removeCopy(id)
	m.sequence++
	copied.sequence = m.sequence
	m.copies[id] = copied
	m.bytes += copied.size
}

// AppendEvents appends events to a copy of the source from. It returns CopyOwned if
// the request was taken over already, and CopyGap if there is no such copy or the
// events do not follow its position.
func (m *TargetMachine) AppendEvents(now time.Time, from string, message *wire.HandoverEvents) (CopyResult, []Action) {
	m.beginEvent(now)
	id := message.GetId()
	if _, taken := m.takenAt[id]; taken {
		return CopyOwned, nil
	}
	m.markAlive(from)
	copied := m.copies[id]
	if copied == nil || copied.source != from || message.GetFirst() != position(copied.state)+1 {
		return CopyGap, nil
	}
	m.appendToCopy(copied, message)
	m.takeOverFinished(now, id)
	return CopyAccepted, m.actions
}

func (m *TargetMachine) appendToCopy(copied *requestCopy, message *wire.HandoverEvents) {
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
	m.bytes += grown
	copied.size += grown
}

// takeOverFinished takes a finished request over at once: its call cannot be sent any
// more, and callers can re-attach here.
func (m *TargetMachine) takeOverFinished(now time.Time, id string) {
	if m.copies[id].state.GetFinished() {
		m.takeOver(now, id)
	}
}

// Release makes this instance the owner of copied requests. It returns CopyGap if
// one of them has no copy here and was not taken over, for example because a late
// announcement of another successor made this instance remove the copies as stale.
func (m *TargetMachine) Release(now time.Time, message *wire.HandoverRelease) (CopyResult, []Action) {
	m.beginEvent(now)
	m.markAlive(message.GetFrom())
	result := CopyAccepted
	for _, id := range message.GetIds() {
		if copied := m.copies[id]; copied != nil && copied.source == message.GetFrom() {
			m.takeOver(now, id)
		} else if _, taken := m.takenAt[id]; !taken {
			result = CopyGap
		}
	}
	return result, m.actions
}

// Drop discards the copies of requests of the source from.
func (m *TargetMachine) Drop(from string, message *wire.HandoverDrop) {
	for _, id := range message.GetIds() {
		if copied := m.copies[id]; copied != nil && copied.source == from {
			m.removeCopy(id)
		}
	}
}

// SuccessorAnnounced reports the successor that a source announced last. The copies
// of a source that announced another one, or none, are stale and are removed, so that this
// instance does not continue from an old position when the source dies.
func (m *TargetMachine) SuccessorAnnounced(now time.Time, source, successor string) {
	state := m.source(source, now)
	state.announced = true
	state.successor = successor
	if successor != m.self {
		m.removeCopiesOf(source)
	}
}

// SourceDead takes over the copies of a source whose heartbeats stopped. Only
// leaving instances send copies, so its departure was announced.
func (m *TargetMachine) SourceDead(now time.Time, source string) []Action {
	m.beginEvent(now)
	m.takeOverAll(now, source)
	return m.actions
}

// SessionBroken reports that the session with a source broke. Its copies are taken
// over by the first Tick after TakeOverDelay, unless a message from it arrives before.
func (m *TargetMachine) SessionBroken(now time.Time, source string) {
	if state := m.source(source, now); state.takeOverAt.IsZero() {
		state.takeOverAt = now.Add(m.cfg.TakeOverDelay)
	}
}

// SelfLeaving makes AddCopy refuse new copies, because this instance is leaving.
func (m *TargetMachine) SelfLeaving() {
	m.leaving = true
}

// Tick takes over the copies of sources whose session stayed broken, and expires old state.
func (m *TargetMachine) Tick(now time.Time) []Action {
	m.beginEvent(now)
	for _, source := range m.dueSources(now) {
		m.takeOverAll(now, source)
	}
	m.expire(now)
	return m.actions
}

// HasCopy reports whether there is a copy of the request that was not taken over yet.
func (m *TargetMachine) HasCopy(id string) bool {
	return m.copies[id] != nil
}

// Copies returns the number of copies and their size in bytes.
func (m *TargetMachine) Copies() (count, bytes int) {
	return len(m.copies), m.bytes
}
