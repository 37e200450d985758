package knapweedhoist

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/internal/wait"
	"knapweedhoist/membership"
	"knapweedhoist/roster"
)

// Intervals and timeouts of the reads from external systems.
const (
	// rosterInterval is the interval at which the instances that watch the list for their data
	// centre read it; rosterPerEntry lengthens it for long lists, which limits the bytes per second.
	rosterInterval = 5 * time.Second
	rosterPerEntry = 15 * time.Millisecond
	// rosterBackstop is the read interval of the other instances, which get the changes from the watchers.
	rosterBackstop = 5 * time.Minute
	// rosterRetry is the interval of the checks whether a read is due, and so the read interval until
	// a read has returned entries.
	rosterRetry    = 200 * time.Millisecond
	loadInterval   = time.Second
	noticeInterval = time.Second
	loadTimeout    = 2 * time.Second
)

func (i *Instance) startPollers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { i.pollRoster(ctx); return nil })
	group.Go(func() error { i.pollLoads(ctx); return nil })
	group.Go(func() error { i.quotas.run(ctx); return nil })
	if i.cloud != nil {
		group.Go(func() error { i.pollNotices(ctx); return nil })
		group.Go(func() error { newPlanner(i).run(ctx); return nil })
	}
}

// pollRoster reads the lagging list whenever it is due, until ctx ends. A failed
// read is retried after rosterRetry.
func (i *Instance) pollRoster(ctx context.Context) {
	entries := 0
	var readAt time.Time
	for ctx.Err() == nil {
		if i.rosterDue(time.Since(readAt), entries) {
			snapshot, err := i.list.Read(ctx)
			if err != nil {
				i.lg.Warn("lagging list cannot be read; using the last entries", "step", "roster", "error", err.Error())
			} else {
				i.hub.post(ctx, control.RosterRead{Entries: memberEntries(snapshot)})
				entries, readAt = len(snapshot.Entries), time.Now()
			}
		}
		wait.For(ctx, rosterRetry)
	}
}

// rosterDue reports whether the list must be read again; since is the time since
// the last successful read, and entries the length of the list then.
func (i *Instance) rosterDue(since time.Duration, entries int) bool {
	switch {
	case entries == 0:
		return true
	case i.view.Load().Fleet.WatchesConfig():
		return since >= max(rosterInterval, time.Duration(entries)*rosterPerEntry)
	default:
		return since >= rosterBackstop
	}
}

func memberEntries(snapshot roster.Snapshot) []membership.Entry {
	entries := make([]membership.Entry, 0, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		entries = append(entries, membership.Entry{
			ID: e.ID, Incarnation: e.Incarnation, Kind: membership.Kind(e.Kind), Service: e.Service,
			Datacentre: e.Datacentre, Zone: e.Zone, Class: e.Class, Address: e.Address,
			Reclaimable: e.Reclaimable, Leaving: e.State == roster.StateLeaving,
		})
	}
	return entries
}

// pollLoads reads the load reports of the endpoints that this instance watches,
// every loadInterval until ctx ends.
func (i *Instance) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		view := i.view.Load()
		for _, endpoint := range view.Fleet.Watched() {
			if view.Catalog == nil || endpoint.Leaving {
				continue
			}
			if service, found := view.Catalog.Service(endpoint.Service); found {
				go i.readLoad(ctx, endpoint, service.Kind)
			}
		}
		wait.For(ctx, loadInterval)
	}
}

func (i *Instance) readLoad(ctx context.Context, endpoint *membership.Endpoint, kind catalog.ServiceKind) {
	metrics.GetOrRegisterCounter("endpoint_load_reads_total", i.metrics).Inc(1)
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	client := i.policy.engine(endpoint)
	report, err := client.Load(bounded)
	if err != nil {
		i.lg.Debug("load report of the endpoint cannot be read", "step", "load", "peer", endpoint.ID, "error", err.Error())
		return
	}
	i.hub.post(ctx, control.LoadRead{Endpoint: endpoint.ID, Report: report})
	if kind == catalog.KindModel {
		i.policy.readCacheEvents(bounded, endpoint, client)
	}
}

// pollNotices reads the cloud's reclaim notices every noticeInterval until ctx
// ends. Two instances of each data centre read them and notify the other live
// ones. An instance that is leaving is not live, and reads them itself because a
// reclaim can end it earlier than its planned stop.
func (i *Instance) pollNotices(ctx context.Context) {
	var from uint64
	for ctx.Err() == nil {
		if view := i.view.Load().Fleet; view.WatchesConfig() || view.Self.State == membership.Leaving {
			from = i.readNotices(ctx, from)
		}
		wait.For(ctx, noticeInterval)
	}
}

// readNotices posts the notices after the sequence number from, and returns the
// sequence number of the last one.
func (i *Instance) readNotices(ctx context.Context, from uint64) uint64 {
	notices, err := i.cloud.Notices(ctx, from)
	if err != nil {
		i.lg.Debug("reclaim notices cannot be read from the cloud", "step", "notices", "error", err.Error())
		return from
	}
	for _, notice := range notices {
		from = max(from, notice.Sequence)
		remaining := time.Until(time.UnixMilli(notice.DeadlineMs))
		i.postNotice(ctx, notice.InstanceID, max(remaining, time.Millisecond))
	}
	return from
}

// postNotice posts a reclaim notice for the endpoint or the entry instance with
// the given ID, which is also its instance ID in the cloud. For this instance it
// calls Reclaim instead.
func (i *Instance) postNotice(ctx context.Context, id string, remaining time.Duration) {
	view := i.view.Load().Fleet
	if endpoint := view.Endpoint(id); endpoint != nil && !endpoint.Leaving {
		i.hub.post(ctx, control.NoticeReceived{Notice: membership.Notice{
			ID: id, Incarnation: endpoint.Incarnation, Remaining: remaining,
		}})
	}
	if id == i.cfg.Instance {
		i.Reclaim(remaining)
		return
	}
	for _, m := range view.Live() {
		if m.ID == id {
			i.hub.post(ctx, control.NoticeReceived{Notice: membership.Notice{
				ID: id, Incarnation: m.Incarnation, Remaining: remaining,
			}})
		}
	}
}
