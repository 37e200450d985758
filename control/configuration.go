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

// configuration joins the editor and the follower of the shared document.
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

// inForce returns the revision in force and the time since it was applied.
func (c *configuration) inForce(now time.Time) (uint64, time.Duration) {
	status := c.follower.Status()
	if status.Revision == 0 {
		return 0, 0
	}
	return status.Revision, now.Sub(status.AppliedAt)
}

func (c *configuration) tick(now time.Time, fleet *membership.View) []Effect {
	var peers []string
	for _, m := range fleet.LiveIn(fleet.Self.Datacentre) {
		if m != fleet.Self {
			peers = append(peers, m.Incarnation)
		}
	}
	effects := c.followed(c.follower.SetView(now, fleet.WatchesConfig(), peers))
	effects = append(effects, c.followed(c.follower.Tick(now))...)
	return append(effects, c.edited(now, c.editor.Tick(now))...)
}

func (c *configuration) heard(now time.Time, from string, revision uint64) []Effect {
	return c.followed(c.follower.Heartbeat(now, from, revision))
}

func (c *configuration) done(now time.Time, done PlatformDone) []Effect {
	if done.Component.Kind == ComponentEdit {
		return c.edited(now, c.editor.Done(now, done.Done))
	}
	return c.followed(c.follower.Done(now, done.Done))
}

// relayed takes a peer's relay. Changes that cannot be decoded leave a gap,
// which the follower closes by fetching the document.
func (c *configuration) relayed(now time.Time, from string, message *wire.ConfigRelay) []Effect {
	relay := distribution.Relay{
		Revision: message.GetRevision(), Version: objectapi.Version(message.GetVersion()), Checksum: message.GetSum(),
	}
	for _, encoded := range message.GetChanges() {
		var change catalog.Change
		if err := json.Unmarshal(encoded, &change); err != nil {
			c.lg.Error("relayed change cannot be decoded", "step", "relay", "peer", from, "error", err.Error())
			break
		}
		relay.Changes = append(relay.Changes, change)
	}
	return c.followed(c.follower.ApplyRelay(now, from, relay))
}

func (c *configuration) fetched(now time.Time, fetched ConfigFetched) []Effect {
	stored := distribution.StoredDocument{
		Revision: fetched.Document.GetRevision(), Version: objectapi.Version(fetched.Document.GetVersion()),
		Value: fetched.Document.GetDocument(),
	}
	return c.followed(c.follower.FetchDone(now, fetched.From, stored, fetched.Document != nil))
}

// serve answers a peer's fetch; nil means that there is nothing newer.
func (c *configuration) serve(asked ConfigAsked) []Effect {
	answer := ConfigServed{Ref: asked.Ref}
	if stored, ok := c.follower.AnswerFetch(distribution.Fetch{Revision: asked.Revision}); ok {
		answer.Document = &wire.ConfigDocument{
			Revision: stored.Revision, Version: uint64(stored.Version), Document: stored.Value,
		}
	}
	return []Effect{answer}
}

func (c *configuration) edit(now time.Time, asked EditAsked) []Effect {
	return c.edited(now, c.editor.Submit(now, asked.Edit))
}

func (c *configuration) edited(now time.Time, out distribution.EditorOutput) []Effect {
	effects := calls(Component{Kind: ComponentEdit}, out.Calls)
	if out.Stored != nil {
		effects = append(effects, c.followed(c.follower.ApplyStored(now, *out.Stored))...)
	}
	for _, result := range out.Results {
		effects = append(effects, EditDone{Result: result})
	}
	return effects
}

func (c *configuration) followed(out distribution.FollowerOutput) []Effect {
	effects := calls(Component{Kind: ComponentFollower}, out.Calls)
	for _, relay := range out.Relays {
		effects = append(effects, RelayConfig{To: relay.To, Relay: c.relayMessage(relay)})
	}
	for _, fetch := range out.Fetches {
		effects = append(effects, FetchConfig{From: fetch.To, Revision: fetch.Revision})
	}
	return effects
}

func (c *configuration) relayMessage(relay distribution.Relay) *wire.ConfigRelay {
	message := &wire.ConfigRelay{Revision: relay.Revision, Version: uint64(relay.Version), Sum: relay.Checksum}
	for _, change := range relay.Changes {
		encoded, err := json.Marshal(change)
		if err != nil {
			c.lg.Error("change cannot be encoded", "step", "relay", "revision", change.Revision, "error", err.Error())
			break
		}
		message.Changes = append(message.Changes, encoded)
	}
	return message
}
