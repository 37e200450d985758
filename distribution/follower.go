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

// FollowerConfig holds what a Follower needs besides the view.
type FollowerConfig struct {
	// Rand spreads the polls of instances that do not watch. Required.
	Rand     *rand.Rand
	Recorder timeline.Recorder
	Checker  invariant.Checker
}

// Follower keeps the revision in force at one instance. The control goroutine
// owns it; it is not safe for concurrent use.
type Follower struct {
	lg  *slog.Logger
	cfg FollowerConfig

	// document is the one in force; version is its object's version when known, sum that of its encoding.
	document  *catalog.Document
	snapshot  *catalog.Snapshot
	version   objectapi.Version
	sum       uint64
	value     []byte
	appliedAt time.Time
	// highest is the highest revision ever in force here; for the assertions only.
	highest uint64

	watching bool
	peers    []string

	nextID   uint64
	callID   uint64
	op       objectapi.Op
	nextCall time.Time
	// from is where the next watch continues; 0 means that the document is read first.
	from objectapi.Version

	news    news
	failing bool
	contact time.Time
	status  Status
}

// news is a newer revision that a heartbeat has shown.
type news struct {
	from     string
	revision uint64
	since    time.Time
	asked    time.Time
	pending  bool
}

// NewFollower returns a Follower that has no document yet. It reads one at its first Tick.
func NewFollower(lg *slog.Logger, cfg FollowerConfig) *Follower {
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard
	}
	return &Follower{lg: lg, cfg: cfg}
}

// SetView tells whether this instance watches for its data centre, and the live peers there.
func (f *Follower) SetView(now time.Time, watching bool, peers []string) FollowerOutput {
	if watching && !f.watching {
		f.from, f.nextCall = 0, now
	}
	f.watching, f.peers = watching, peers
	return f.Tick(now)
}

// Snapshot returns the configuration in force, or nil before the first one.
func (f *Follower) Snapshot() *catalog.Snapshot { return f.snapshot }

// Revision returns the revision in force, 0 before the first one; heartbeats carry it.
func (f *Follower) Revision() uint64 {
	if f.document == nil {
		return 0
	}
	return f.document.Revision
}

// Serve answers a peer's Fetch; false when there is nothing newer.
func (f *Follower) Serve(fetch Fetch) (Stored, bool) {
	if f.Revision() <= fetch.Revision {
		return Stored{}, false
	}
	return Stored{Revision: f.Revision(), Version: f.version, Value: f.value}, true
}

// Status describes the follower.
func (f *Follower) Status() Status {
	s := f.status
	s.Revision, s.AppliedAt, s.Watching = f.Revision(), f.appliedAt, f.watching
	s.CutOff, s.Since = f.failing, f.contact
	return s
}

// Tick makes the calls that are due. It is called at least every 100 ms.
func (f *Follower) Tick(now time.Time) FollowerOutput {
	var out FollowerOutput
	if f.contact.IsZero() {
		f.contact = now
	}
	f.call(now, &out)
	f.fetch(now, &out)
	return out
}

// Done accepts the result of a call. Each Call needs exactly one Done; a watch that was abandoned after 35 s ends with
// ErrUnavailable.
func (f *Follower) Done(now time.Time, done objectapi.Done) FollowerOutput {
	var out FollowerOutput
	if f.callID == 0 || f.callID != done.ID {
		return out
	}
	f.callID = 0
	f.noteContact(now, done.Err)
	switch {
	case errors.Is(done.Err, objectapi.ErrCompacted):
		f.from, f.nextCall = 0, now
	case errors.Is(done.Err, objectapi.ErrNotFound):
		f.from = done.Reply.Version
		f.pause(now, f.watching && f.from != 0)
	case done.Err != nil:
		f.pause(now, false)
	case f.op == objectapi.OpGet:
		f.offer(now, "platform", done.Reply.Object.Value, done.Reply.Object.Version, &out)
		f.from = max(done.Reply.Version, done.Reply.Object.Version)
		f.pause(now, f.watching)
	default:
		f.watched(now, done.Reply, &out)
	}
	f.call(now, &out)
	return out
}

// Stored takes a document that this instance's Editor stored.
func (f *Follower) Stored(now time.Time, stored Stored) FollowerOutput {
	var out FollowerOutput
	f.offer(now, "editor", stored.Value, stored.Version, &out)
	return out
}

// Heartbeat takes the revision that a peer reports. A newer one is fetched when no relay brings it soon.
func (f *Follower) Heartbeat(now time.Time, from string, revision uint64) FollowerOutput {
	var out FollowerOutput
	if revision > f.Revision() && revision > f.news.revision {
		if f.news.revision <= f.Revision() {
			f.news.since = now
		}
		f.news.from, f.news.revision = from, revision
	}
	f.fetch(now, &out)
	return out
}

// Fetched takes a peer's answer to a Fetch; ok is false when the peer had nothing newer or did not answer.
func (f *Follower) Fetched(now time.Time, from string, stored Stored, ok bool) FollowerOutput {
	var out FollowerOutput
	if from == f.news.from {
		f.news.pending = false
	}
	if !ok {
		f.news.revision = 0 // the next heartbeat tells whom to ask
		return out
	}
	f.offer(now, from, stored.Value, stored.Version, &out)
	return out
}

// Relayed takes a relay of a watcher.
func (f *Follower) Relayed(now time.Time, from string, relay Relay) FollowerOutput {
	var out FollowerOutput
	switch {
	case relay.Revision <= f.Revision():
		f.status.Stale++
		same := relay.Revision != f.Revision() || relay.Sum == f.sum
		f.check(same, InvariantOneDocument, "relay", from, relay.Revision)
	case !f.follow(now, from, relay, &out):
		f.news = news{from: from, revision: relay.Revision, since: now.Add(-fetchDelay)}
		f.fetch(now, &out)
	}
	return out
}

// follow applies the changes of a relay to the document in force; false when they do not lead to its revision.
func (f *Follower) follow(now time.Time, from string, relay Relay, out *FollowerOutput) bool {
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
	if err != nil || next.Revision != relay.Revision || xxh3.Hash(value) != relay.Sum {
		return false
	}
	f.adopt(now, from, next, value, relay.Version, false, out)
	return true
}

// offer applies a whole document when it is newer than the one in force, and relays it.
func (f *Follower) offer(now time.Time, from string, value []byte, version objectapi.Version, out *FollowerOutput) {
	document, err := catalog.Decode(value)
	if err != nil {
		f.refuse(from, err)
		return
	}
	if f.document != nil && document.Revision <= f.document.Revision {
		f.status.Stale++
		return
	}
	encoded, err := document.Encode()
	if err != nil {
		f.refuse(from, err)
		return
	}
	f.adopt(now, from, document, encoded, version, true, out)
}

// adopt puts a newer document in force.
func (f *Follower) adopt(
	now time.Time, from string, document *catalog.Document, value []byte, version objectapi.Version, relay bool, out *FollowerOutput,
) {
	snapshot, err := catalog.NewSnapshot(document)
	if err != nil {
		f.refuse(from, err)
		return
	}
	f.check(document.Revision > f.highest, InvariantRevision, "apply", from, document.Revision)
	f.check(inForceOnce(document), InvariantOneInForce, "apply", from, document.Revision)
	before := f.Revision()
	f.highest = max(f.highest, document.Revision)
	f.document, f.snapshot, f.value, f.version, f.sum = document, snapshot, value, version, xxh3.Hash(value)
	f.appliedAt = now
	out.Applied = snapshot
	f.lg.Info("configuration applied", "revision", document.Revision, "peer", from)
	f.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindRevision, Revision: document.Revision, Peer: from, Step: "applied", Preset: document.InForce,
	})
	if relay && f.watching {
		f.relay(before, out)
	}
}

// relay sends the changes since a revision to all peers of the data centre.
func (f *Follower) relay(before uint64, out *FollowerOutput) {
	changes := f.document.Changes
	for len(changes) > 0 && changes[0].Revision <= before {
		changes = changes[1:]
	}
	for _, peer := range f.peers {
		out.Relays = append(out.Relays, Relay{
			To: peer, Revision: f.document.Revision, Version: f.version, Sum: f.sum, Changes: changes,
		})
	}
}

func (f *Follower) refuse(from string, err error) {
	f.status.Refused++
	f.status.LastRefusal = err
	f.lg.Error("configuration refused; the revision in force stays", "peer", from, "error", err)
}

func (f *Follower) watched(now time.Time, reply objectapi.Reply, out *FollowerOutput) {
	for _, event := range reply.Events {
		f.from = max(f.from, event.Object.Version)
		if event.Object.Name != ObjectName || event.Deleted {
			continue // a deleted document leaves the last revision in force
		}
		f.offer(now, "platform", event.Object.Value, event.Object.Version, out)
	}
	f.from = max(f.from, reply.Version)
	f.pause(now, true)
}

func (f *Follower) noteContact(now time.Time, err error) {
	unanswered := errors.Is(err, objectapi.ErrUnavailable)
	if unanswered && !f.failing {
		f.lg.Warn("platform does not answer; the revision in force stays", "since", f.contact, "revision", f.Revision())
		f.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindPlatformDown, Revision: f.Revision(), Step: "configuration"})
	}
	f.failing = unanswered
	if !unanswered {
		f.contact = now
	}
}

// pause sets when the next call is made: at once for a watcher that goes on.
func (f *Follower) pause(now time.Time, next bool) {
	switch {
	case next:
		f.nextCall = now
	case f.watching:
		f.nextCall = now.Add(retryAfter)
	case f.failing || f.document == nil:
		f.nextCall = now.Add(pollRetry)
	default:
		f.nextCall = now.Add(pollInterval/2 + time.Duration(f.cfg.Rand.Int63n(int64(pollInterval))))
	}
}

func (f *Follower) call(now time.Time, out *FollowerOutput) {
	if f.callID != 0 || now.Before(f.nextCall) {
		return
	}
	request := objectapi.Get(objectapi.KindConfig, ObjectName)
	if f.watching && f.from != 0 {
		request = objectapi.Request{Op: objectapi.OpWatch, Kind: objectapi.KindConfig, Name: ObjectName, From: f.from, Wait: watchWait}
	}
	f.nextID++
	f.callID, f.op = f.nextID, request.Op
	out.Calls = append(out.Calls, objectapi.Call{ID: f.nextID, Request: request})
}

func (f *Follower) fetch(now time.Time, out *FollowerOutput) {
	if f.news.pending && now.Sub(f.news.asked) >= fetchTimeout {
		f.news.pending = false
		f.news.revision = 0
	}
	due := f.news.revision > f.Revision() && now.Sub(f.news.since) >= fetchDelay
	if f.news.pending || !due {
		return
	}
	f.news.pending, f.news.asked = true, now
	out.Fetches = append(out.Fetches, Fetch{To: f.news.from, Revision: f.Revision()})
}
