package operator

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"knapweedhoist/membership"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// maxParallelQueries is the maximum number of peers queried at the same time.
const maxParallelQueries = 32

// maxAnswerEvents is the maximum number of events in one peer's answer, which must fit in a frame.
const maxAnswerEvents = 10000

// PeerCaller sends calls to peers; *peer.Client implements it.
type PeerCaller interface {
	Call(ctx context.Context, address string, call *wire.Call) (*wire.Answer, error)
}

// MergedTimeline is the response of /operator/v1/timeline: the events of all instances in one order.
type MergedTimeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the instances whose events could not be read, in ascending order.
	Missing []string `json:"missing,omitempty"`
	// Dropped is the number of events that the rings of the answering instances have overwritten.
	Dropped uint64 `json:"dropped"`
}

// Collector queries the timeline events of all instances and merges them.
//
// Its methods are safe for concurrent use.
type Collector struct {
	lg     *slog.Logger
	ring   *timeline.Ring
	caller PeerCaller
	view   func() *membership.View
}

// NewCollector returns a Collector that reads ring, this instance's own events, and
// queries the members of view through caller.
func NewCollector(lg *slog.Logger, ring *timeline.Ring, caller PeerCaller, view func() *membership.View) *Collector {
	return &Collector{lg: lg, ring: ring, caller: caller, view: view}
}

// Collect implements Timeline. A peer that fails is reported in Missing, not as an error.
func (c *Collector) Collect(ctx context.Context, filter timeline.Filter) MergedTimeline {
	merged := MergedTimeline{Dropped: c.ring.Dropped()}
	streams := [][]timeline.Event{c.ring.Select(filter)}
	var mu sync.Mutex // guards merged and streams
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for _, m := range c.otherMembers() {
		group.Go(func() error {
			events, dropped, err := c.queryPeer(ctx, m, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.lg.Warn("timeline query to a peer failed", "step", "operator/timeline", "peer", m.ID, "error", err)
				merged.Missing = append(merged.Missing, m.ID)
				return nil
			}
			streams = append(streams, events)
			merged.Dropped += dropped
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	slices.Sort(merged.Missing)
	merged.Events = timeline.Newest(timeline.Merge(streams...), filter.Limit)
	return merged
}

// otherMembers returns the members to query: all but this instance and those in state Listed, whose
// peer address is not known. Unreachable members are included, so that they appear in Missing.
func (c *Collector) otherMembers() []*membership.Member {
	view := c.view()
	var members []*membership.Member
	for _, m := range view.Members {
		if m != view.Self && m.State != membership.Listed {
			members = append(members, m)
		}
	}
	return members
}

// queryPeer returns the events of one peer and the number of events that its ring has overwritten.
func (c *Collector) queryPeer(ctx context.Context, m *membership.Member, filter timeline.Filter) ([]timeline.Event, uint64, error) {
	call := &wire.Call{Body: &wire.Call_Timeline{Timeline: toWireQuery(filter)}}
	answer, err := c.caller.Call(ctx, m.PeerAddress, call)
	if err != nil {
		return nil, 0, err
	}
	events, err := timeline.Decode(answer.GetTimeline().GetEvents())
	return events, answer.GetTimeline().GetDropped(), err
}

func toWireQuery(f timeline.Filter) *wire.TimelineQuery {
	return &wire.TimelineQuery{
		Request: f.Request, Preset: f.Preset, Endpoint: f.Endpoint, Team: f.Team, Kind: string(f.Kind),
		Instance: f.Instance, SinceWallMs: f.SinceMs, UntilWallMs: f.UntilMs, Limit: uint32(f.Limit),
	}
}

// AnswerQuery returns the answer to a peer's timeline query from this instance's ring, with at
// most maxAnswerEvents events.
func AnswerQuery(ring *timeline.Ring, q *wire.TimelineQuery) (*wire.Answer, error) {
	limit := int(q.GetLimit())
	if limit <= 0 || limit > maxAnswerEvents {
		limit = maxAnswerEvents
	}
	events, err := timeline.Encode(ring.Select(timeline.Filter{
		Request: q.GetRequest(), Preset: q.GetPreset(), Endpoint: q.GetEndpoint(), Team: q.GetTeam(),
		Kind: timeline.Kind(q.GetKind()), Instance: q.GetInstance(),
		SinceMs: q.GetSinceWallMs(), UntilMs: q.GetUntilWallMs(), Limit: limit,
	}))
	if err != nil {
		return nil, stepError("operator/timeline", err)
	}
	return &wire.Answer{Body: &wire.Answer_Timeline{
		Timeline: &wire.TimelineEvents{Events: events, Dropped: ring.Dropped()},
	}}, nil
}
