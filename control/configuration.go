package control

import (
	"encoding/json"
	"log/slog"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/distribution"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// configuration combines the editor and the follower of the configuration document.
type configuration struct {
	lg       *slog.Logger
	follower *distribution.Follower
	editor   *distribution.Editor
}

func newConfiguration(cfg Config) *configuration {
	return &configuration{
		lg: cfg.Logger,
		follower: distribution.NewFollower(cfg.Logger, distribution.FollowerConfig{
			Rand: cfg.Rand, Recorder: cfg.Recorder, Checker: cfg.Checker,
		}),
		editor: distribution.NewEditor(cfg.Logger, distribution.EditorConfig{Recorder: cfg.Recorder, Checker: cfg.Checker}),
	}
}

func (c *configuration) snapshot() *catalog.Snapshot {
	return c.follower.Snapshot()
}

// inForce returns the revision in force and the time since it was applied; both are 0 before the first revision.
func (c *configuration) inForce(now time.Time) (uint64, time.Duration) {
	status := c.follower.Status()
	if status.Revision == 0 {
		return 0, 0
	}
	return status.Revision, now.Sub(status.AppliedAt)
}

// tick tells the follower whether this instance watches the configuration and
// which peers of its data centre are live, and runs the due work of the follower
// and the editor.
func (c *configuration) tick(now time.Time, fleet *membership.View) []Effect {
	var peers []string
	for _, m := range fleet.LiveIn(fleet.Self.Datacentre) {
		if m != fleet.Self {
			peers = append(peers, m.Incarnation)
		}
	}
	effects := c.followerEffects(c.follower.SetView(now, fleet.WatchesConfig(), peers))
	effects = append(effects, c.followerEffects(c.follower.Tick(now))...)
	return append(effects, c.editorEffects(now, c.editor.Tick(now))...)
}

// handleHeartbeat processes the revision that a peer's heartbeat reports as in force.
func (c *configuration) handleHeartbeat(now time.Time, from string, revision uint64) []Effect {
	return c.followerEffects(c.follower.Heartbeat(now, from, revision))
}

func (c *configuration) handlePlatformDone(now time.Time, done PlatformDone) []Effect {
	if done.Component.Kind == ComponentEdit {
		return c.editorEffects(now, c.editor.Done(now, done.Done))
	}
	return c.followerEffects(c.follower.Done(now, done.Done))
}

// handleRelay processes changes that a peer relayed. A change that cannot be
// decoded and those after it are dropped; the follower closes the gap by fetching
// the document.
func (c *configuration) handleRelay(now time.Time, from string, message *wire.ConfigRelay) []Effect {
	relay := distribution.Relay{
		Revision: message.GetRevision(), Version: objectapi.Version(message.GetVersion()), Checksum: message.GetSum(),
	}
	for _, encoded := range message.GetChanges() {
		var change catalog.Change
		if err := json.Unmarshal(encoded, &change); err != nil {
			c.lg.Error("relayed configuration change cannot be decoded", "step", "relay", "peer", from, "error", err.Error())
			break
		}
		relay.Changes = append(relay.Changes, change)
	}
	return c.followerEffects(c.follower.ApplyRelay(now, from, relay))
}

// handleFetched processes the result of a fetch from a peer.
func (c *configuration) handleFetched(now time.Time, fetched ConfigFetched) []Effect {
	stored := distribution.StoredDocument{
		Revision: fetched.Document.GetRevision(), Version: objectapi.Version(fetched.Document.GetVersion()),
		Value: fetched.Document.GetDocument(),
	}
	return c.followerEffects(c.follower.FetchDone(now, fetched.From, stored, fetched.Document != nil))
}

// answerFetch answers a peer's fetch; the document is nil if this instance has no newer one.
func (c *configuration) answerFetch(request ConfigRequested) []Effect {
	answer := ConfigServed{Ref: request.Ref}
	if stored, ok := c.follower.AnswerFetch(distribution.Fetch{Revision: request.Revision}); ok {
		answer.Document = &wire.ConfigDocument{
			Revision: stored.Revision, Version: uint64(stored.Version), Document: stored.Value,
		}
	}
	return []Effect{answer}
}

func (c *configuration) submitEdit(now time.Time, request EditRequested) []Effect {
	return c.editorEffects(now, c.editor.Submit(now, request.Edit))
}

// editorEffects converts an output of the editor. A stored document is applied by the follower at once.
func (c *configuration) editorEffects(now time.Time, out distribution.EditorOutput) []Effect {
	effects := platformCalls(Component{Kind: ComponentEdit}, out.Calls)
	if out.Stored != nil {
		effects = append(effects, c.followerEffects(c.follower.ApplyStored(now, *out.Stored))...)
	}
	for _, result := range out.Results {
		effects = append(effects, EditDone{Result: result})
	}
	return effects
}

// followerEffects converts an output of the follower.
func (c *configuration) followerEffects(out distribution.FollowerOutput) []Effect {
	effects := platformCalls(Component{Kind: ComponentFollower}, out.Calls)
	for _, relay := range out.Relays {
		effects = append(effects, RelayConfig{To: relay.To, Relay: c.relayMessage(relay)})
	}
	for _, fetch := range out.Fetches {
		effects = append(effects, FetchConfig{From: fetch.To, Revision: fetch.Revision})
	}
	return effects
}

// relayMessage encodes a relay. A change that cannot be encoded and those after it are left out.
func (c *configuration) relayMessage(relay distribution.Relay) *wire.ConfigRelay {
	message := &wire.ConfigRelay{Revision: relay.Revision, Version: uint64(relay.Version), Sum: relay.Checksum}
	for _, change := range relay.Changes {
		encoded, err := json.Marshal(change)
		if err != nil {
			c.lg.Error("configuration change cannot be encoded",
				"step", "relay", "revision", change.Revision, "error", err.Error())
			break
		}
		message.Changes = append(message.Changes, encoded)
	}
	return message
}
