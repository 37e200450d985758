package distribution

import (
	"errors"
	"log/slog"
	"math/rand"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// FollowerConfig holds the dependencies of a Follower. Recorder and Checker are optional.
type FollowerConfig struct {
	// Rand draws the intervals between the reads of an instance that is not a watcher. It is required.
	Rand     *rand.Rand
	Recorder timeline.Recorder
	Checker  invariant.Checker
}

// Follower keeps the document in force at one instance. The control goroutine
// owns it; it is not safe for concurrent use.
type Follower struct {
	lg  *slog.Logger
	cfg FollowerConfig

	// document is the document in force. version is the version of its object when known, encoded is its JSON and checksum
	// the xxh3 of encoded.
	document  *catalog.Document
	snapshot  *catalog.Snapshot
	version   objectapi.Version
	checksum  uint64
	encoded   []byte
	appliedAt time.Time
	// highestRevision is the highest revision that was ever in force here; only the invariant checks use it.
	highestRevision uint64

	watching bool
	peers    []string

	nextID     uint64
	callID     uint64
	callOp     objectapi.Op
	nextCallAt time.Time
	// watchFrom is the object version from which the next watch continues; 0 means that the document is read first.
	watchFrom objectapi.Version

	advertised          advertisedRevision
	platformUnavailable bool
	lastContact         time.Time
	status              Status
}

// advertisedRevision is a newer revision that a peer has reported, and the state of its fetch. revision is 0 when none was
// reported, and after a fetch that failed or timed out.
type advertisedRevision struct {
	peer     string
	revision uint64
	// advertisedAt is when the first revision above the one in force was reported; the fetch is due fetchDelay later. After
	// a Relay message that cannot be applied it is set to fetchDelay before the present time, so that the fetch is due at
	// once.
	advertisedAt time.Time
	fetchSentAt  time.Time
	fetchPending bool
}

// NewFollower returns a Follower without a document. Its first Tick reads the document.
func NewFollower(lg *slog.Logger, cfg FollowerConfig) *Follower {
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard
	}
	return &Follower{lg: lg, cfg: cfg}
}

// SetView sets whether this instance is one of the watchers in its data centre, and the live peers there. It then
// calls Tick and returns its output.
func (f *Follower) SetView(now time.Time, watching bool, peers []string) FollowerOutput {
	if watching && !f.watching {
		f.watchFrom, f.nextCallAt = 0, now
	}
	f.watching, f.peers = watching, peers
	return f.Tick(now)
}

// Snapshot returns the configuration in force, or nil before the first document was applied.
func (f *Follower) Snapshot() *catalog.Snapshot { return f.snapshot }

// Revision returns the revision in force, or 0 before the first document was applied. Heartbeats carry it.
func (f *Follower) Revision() uint64 {
	if f.document == nil {
		return 0
	}
	return f.document.Revision
}

// AnswerFetch returns the document for a peer's Fetch, or false when it is not newer than the peer's.
func (f *Follower) AnswerFetch(fetch Fetch) (StoredDocument, bool) {
	if f.Revision() <= fetch.Revision {
		return StoredDocument{}, false
	}
	return StoredDocument{Revision: f.Revision(), Version: f.version, Value: f.encoded}, true
}

// Status returns the state of the Follower for operators.
func (f *Follower) Status() Status {
	s := f.status
	s.Revision, s.AppliedAt, s.Watching = f.Revision(), f.appliedAt, f.watching
	s.PlatformUnavailable, s.LastContact = f.platformUnavailable, f.lastContact
	return s
}

// Tick returns the calls and fetches that are due. It must be called at least every 100 ms.
func (f *Follower) Tick(now time.Time) FollowerOutput {
	var out FollowerOutput
	if f.lastContact.IsZero() {
		f.lastContact = now
	}
	f.startCall(now, &out)
	f.startFetch(now, &out)
	return out
}

// Done processes the result of a call. It must be called exactly once for each Call, with ErrUnavailable for a call that
// was abandoned.
func (f *Follower) Done(now time.Time, done objectapi.CallResult) FollowerOutput {
	var out FollowerOutput
	if f.callID == 0 || f.callID != done.ID {
		return out
	}
	f.callID = 0
	f.recordContact(now, done.Err)
	switch {
	case errors.Is(done.Err, objectapi.ErrCompacted):
		f.watchFrom, f.nextCallAt = 0, now
	case errors.Is(done.Err, objectapi.ErrNotFound):
		f.watchFrom = done.Reply.Version
		f.scheduleCall(now, f.watching && f.watchFrom != 0)
	case done.Err != nil:
		f.scheduleCall(now, false)
	case f.callOp == objectapi.OpGet:
		f.applyDocument(now, "platform", done.Reply.Object.Value, done.Reply.Object.Version, &out)
		f.watchFrom = max(done.Reply.Version, done.Reply.Object.Version)
		f.scheduleCall(now, f.watching)
	default:
		f.handleWatchReply(now, done.Reply, &out)
	}
	f.startCall(now, &out)
	return out
}

// ApplyStored applies a document that the Editor of this instance stored.
func (f *Follower) ApplyStored(now time.Time, stored StoredDocument) FollowerOutput {
	var out FollowerOutput
	f.applyDocument(now, "editor", stored.Value, stored.Version, &out)
	return out
}

// Heartbeat processes the revision in the heartbeat of a peer. peer is the incarnation of the sender. A newer revision is
// fetched when no Relay message delivers it within fetchDelay.
func (f *Follower) Heartbeat(now time.Time, peer string, revision uint64) FollowerOutput {
	var out FollowerOutput
	if revision > f.Revision() && revision > f.advertised.revision {
		if f.advertised.revision <= f.Revision() {
			f.advertised.advertisedAt = now
		}
		f.advertised.peer, f.advertised.revision = peer, revision
	}
	f.startFetch(now, &out)
	return out
}

// FetchDone processes the answer of a peer to a Fetch; ok is false when the peer had no newer document or did not answer.
func (f *Follower) FetchDone(now time.Time, peer string, stored StoredDocument, ok bool) FollowerOutput {
	var out FollowerOutput
	if peer == f.advertised.peer {
		f.advertised.fetchPending = false
	}
	if !ok {
		f.advertised.revision = 0 // the next heartbeat with a newer revision selects the peer to ask
		return out
	}
	f.applyDocument(now, peer, stored.Value, stored.Version, &out)
	return out
}

// ApplyRelay applies a Relay message from a watcher. When its changes cannot be applied or give another document than the
// watcher's, the document is fetched at once.
func (f *Follower) ApplyRelay(now time.Time, peer string, relay Relay) FollowerOutput {
	var out FollowerOutput
	switch {
	case relay.Revision <= f.Revision():
		f.status.Stale++
		consistent := relay.Revision != f.Revision() || relay.Checksum == f.checksum
		f.assertInvariant(consistent, InvariantOneDocument, "relay", peer, relay.Revision)
	case !f.applyRelayedChanges(now, peer, relay, &out):
		f.advertised = advertisedRevision{peer: peer, revision: relay.Revision, advertisedAt: now.Add(-fetchDelay)}
		f.startFetch(now, &out)
	}
	return out
}

// applyRelayedChanges applies the changes of a Relay message to the document in force. It returns false when no document
// is in force, when a change cannot be applied and when the result does not have the message's revision and checksum. It
// returns true also when install rejects the result.
func (f *Follower) applyRelayedChanges(now time.Time, peer string, relay Relay, out *FollowerOutput) bool {
	if f.document == nil {
		return false
	}
	next := f.document
	for _, change := range relay.Changes {
		if change.Revision <= next.Revision {
			continue
		}
		applied, err := next.WithChange(change)
		if err != nil {
			return false
		}
		next = applied
	}
	value, err := next.Encode()
	if err != nil || next.Revision != relay.Revision || xxh3.Hash(value) != relay.Checksum {
		return false
	}
	f.install(now, peer, next, value, relay.Version, false, out)
	return true
}

// applyDocument applies an encoded document when it is newer than the one in force; a watcher relays the changes
// since the previous revision to its peers.
// source is "platform", "editor" or the incarnation of the peer that sent the document.
func (f *Follower) applyDocument(now time.Time, source string, value []byte, version objectapi.Version, out *FollowerOutput) {
	document, err := catalog.Decode(value)
	if err != nil {
		f.reject(source, err)
		return
	}
	if f.document != nil && document.Revision <= f.document.Revision {
		f.status.Stale++
		return
	}
	encoded, err := document.Encode()
	if err != nil {
		f.reject(source, err)
		return
	}
	f.install(now, source, document, encoded, version, true, out)
}

// install validates a newer document and puts it in force. value is its encoding. With relayToPeers set, a
// watcher relays the changes since the previous revision.
func (f *Follower) install(
	now time.Time, source string, document *catalog.Document, value []byte, version objectapi.Version, relayToPeers bool, out *FollowerOutput,
) {
	snapshot, err := catalog.NewSnapshot(document)
	if err != nil {
		f.reject(source, err)
		return
	}
	f.assertInvariant(document.Revision > f.highestRevision, InvariantRevisionOrder, "apply", source, document.Revision)
	f.assertInvariant(hasOnePresetInForce(document), InvariantOneInForce, "apply", source, document.Revision)
	previousRevision := f.Revision()
	f.highestRevision = max(f.highestRevision, document.Revision)
	f.document, f.snapshot, f.encoded, f.version, f.checksum = document, snapshot, value, version, xxh3.Hash(value)
	f.appliedAt = now
	out.Applied = snapshot
	f.lg.Info("configuration applied", "revision", document.Revision, "peer", source)
	f.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindRevision, Revision: document.Revision, Peer: source, Step: "applied", Preset: document.InForce,
	})
	if relayToPeers && f.watching {
		f.relayChanges(previousRevision, out)
	}
}

// relayChanges adds to out a Relay message with the retained changes after previousRevision for each peer of the
// data centre.
func (f *Follower) relayChanges(previousRevision uint64, out *FollowerOutput) {
	changes := f.document.Changes
	for len(changes) > 0 && changes[0].Revision <= previousRevision {
		changes = changes[1:]
	}
	for _, peer := range f.peers {
		out.Relays = append(out.Relays, Relay{
			To: peer, Revision: f.document.Revision, Version: f.version, Checksum: f.checksum, Changes: changes,
		})
	}
}

// reject counts and logs a document that cannot be applied.
func (f *Follower) reject(source string, err error) {
	f.status.Rejected++
	f.status.LastRejection = err
	f.lg.Error("configuration document rejected; the current revision stays in force", "peer", source, "error", err)
}

// handleWatchReply applies the document of each event and continues the watch after the reply.
func (f *Follower) handleWatchReply(now time.Time, reply objectapi.Reply, out *FollowerOutput) {
	for _, event := range reply.Events {
		f.watchFrom = max(f.watchFrom, event.Object.Version)
		if event.Object.Name != ObjectName || event.Deleted {
			continue // when the object is deleted, the last revision stays in force
		}
		f.applyDocument(now, "platform", event.Object.Value, event.Object.Version, out)
	}
	f.watchFrom = max(f.watchFrom, reply.Version)
	f.scheduleCall(now, true)
}

// recordContact updates lastContact and platformUnavailable after a call. Any result but ErrUnavailable is an answer.
func (f *Follower) recordContact(now time.Time, err error) {
	unavailable := errors.Is(err, objectapi.ErrUnavailable)
	if unavailable && !f.platformUnavailable {
		f.lg.Warn("platform unavailable; the current configuration revision stays in force", "since", f.lastContact, "revision", f.Revision())
		f.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindPlatformDown, Revision: f.Revision(), Step: "configuration"})
	}
	f.platformUnavailable = unavailable
	if !unavailable {
		f.lastContact = now
	}
}

// scheduleCall sets the time of the next call. With immediate set, it is now: a watcher continues its watch.
func (f *Follower) scheduleCall(now time.Time, immediate bool) {
	switch {
	case immediate:
		f.nextCallAt = now
	case f.watching:
		f.nextCallAt = now.Add(retryDelay)
	case f.platformUnavailable || f.document == nil:
		f.nextCallAt = now.Add(pollRetryDelay)
	default:
		f.nextCallAt = now.Add(pollInterval/2 + time.Duration(f.cfg.Rand.Int63n(int64(pollInterval))))
	}
}

// startCall reads the document, or continues the watch, when a call is due and none is in progress.
func (f *Follower) startCall(now time.Time, out *FollowerOutput) {
	if f.callID != 0 || now.Before(f.nextCallAt) {
		return
	}
	request := objectapi.Get(objectapi.KindConfig, ObjectName)
	if f.watching && f.watchFrom != 0 {
		request = objectapi.Request{
			Op: objectapi.OpWatch, Kind: objectapi.KindConfig, Name: ObjectName,
			From: objectapi.Position{Version: f.watchFrom}, Wait: maxWatchWait,
		}
	}
	f.nextID++
	f.callID, f.callOp = f.nextID, request.Op
	out.Calls = append(out.Calls, objectapi.Call{ID: f.nextID, Request: request})
}

// startFetch asks the peer that reported a newer revision for its document, fetchDelay after the first report of
// a newer revision. A fetch without an answer ends after fetchTimeout; after the next heartbeat with a newer revision
// another one starts, again fetchDelay later.
func (f *Follower) startFetch(now time.Time, out *FollowerOutput) {
	if f.advertised.fetchPending && now.Sub(f.advertised.fetchSentAt) >= fetchTimeout {
		f.advertised.fetchPending = false
		f.advertised.revision = 0
	}
	due := f.advertised.revision > f.Revision() && now.Sub(f.advertised.advertisedAt) >= fetchDelay
	if f.advertised.fetchPending || !due {
		return
	}
	f.advertised.fetchPending, f.advertised.fetchSentAt = true, now
	out.Fetches = append(out.Fetches, Fetch{To: f.advertised.peer, Revision: f.Revision()})
}
