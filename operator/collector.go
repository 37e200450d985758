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

// parallelQueries bounds the peers that are asked at the same time.
const parallelQueries = 32

// maxAnswerEvents bounds the events that one peer returns, which must fit a frame.
const maxAnswerEvents = 10000

// Caller is the part of *peer.Client that a Collector needs.
type Caller interface {
	Call(ctx context.Context, address string, call *wire.Call) (*wire.Answer, error)
}

// Collected is a merged timeline.
type Collected struct {
	Events []timeline.Event `json:"events"`
	// Missing are the instances that did not answer.
	Missing []string `json:"missing,omitempty"`
	// Dropped is how many events the rings had overwritten.
	Dropped uint64 `json:"dropped"`
}

// Collector asks all instances for their events and merges them.
type Collector struct {
	lg     *slog.Logger
	ring   *timeline.Ring
	caller Caller
	view   func() *membership.View
}

// NewCollector returns a Collector over this instance's ring and its peers.
func NewCollector(lg *slog.Logger, ring *timeline.Ring, caller Caller, view func() *membership.View) *Collector {
	return &Collector{lg: lg, ring: ring, caller: caller, view: view}
}

// Collect implements Timeline.
func (c *Collector) Collect(ctx context.Context, filter timeline.Filter) Collected {
	collected := Collected{Dropped: c.ring.Dropped()}
	streams := [][]timeline.Event{c.ring.Select(filter)}
	var mu sync.Mutex // guards collected and streams
	var group errgroup.Group
	group.SetLimit(parallelQueries)
	for _, m := range c.others() {
		group.Go(func() error {
			events, dropped, err := c.ask(ctx, m, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.lg.Warn("no timeline from a peer", "step", "operator/timeline", "peer", m.ID, "error", err)
				collected.Missing = append(collected.Missing, m.ID)
				return nil
			}
			streams = append(streams, events)
			collected.Dropped += dropped
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	slices.Sort(collected.Missing)
	collected.Events = timeline.Newest(timeline.Merge(streams...), filter.Limit)
	return collected
}

// others returns the members that may have events. Those that cannot be asked
// are included, so that they appear as missing.
func (c *Collector) others() []*membership.Member {
	view := c.view()
	var others []*membership.Member
	for _, m := range view.Members {
		if m != view.Self && m.State != membership.Listed {
			others = append(others, m)
		}
	}
	return others
}

func (c *Collector) ask(ctx context.Context, m *membership.Member, filter timeline.Filter) ([]timeline.Event, uint64, error) {
	call := &wire.Call{Body: &wire.Call_Timeline{Timeline: queryOf(filter)}}
	answer, err := c.caller.Call(ctx, m.PeerAddress, call)
	if err != nil {
		return nil, 0, err
	}
	events, err := timeline.Decode(answer.GetTimeline().GetEvents())
	return events, answer.GetTimeline().GetDropped(), err
}

func queryOf(f timeline.Filter) *wire.TimelineQuery {
	return &wire.TimelineQuery{
		Request: f.Request, Preset: f.Preset, Endpoint: f.Endpoint, Team: f.Team, Kind: string(f.Kind),
		Instance: f.Instance, SinceWallMs: f.SinceMs, UntilWallMs: f.UntilMs, Limit: uint32(f.Limit),
	}
}

// AnswerQuery answers a peer's query from this instance's ring.
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
