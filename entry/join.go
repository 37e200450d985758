package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/fleetstate"
	"knapweedhoist/internal/contain"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
)

const (
	// joinBackoff is the wait after a failed call. It doubles up to maxJoinBackoff.
	joinBackoff    = 300 * time.Millisecond
	maxJoinBackoff = 3 * time.Second
	// listInterval is the time between two reads of the instances' objects by an aggregator. The first read finds the other
	// instances, and reports announce new ones later; further reads serve to remove dead instances.
	listInterval = 10 * time.Second
	// membershipInterval is the period at which an instance checks whether it has to do something about its membership.
	membershipInterval = 500 * time.Millisecond
	// relayWaitAtStart is how long an instance that has joined waits for a digest, which names the relays, before it reads
	// the store itself.
	relayWaitAtStart = time.Second
	// newDeploymentDelay is how long an instance of a new deployment waits before it reads the instances' objects, which all
	// instances write when they start.
	newDeploymentDelay = 600 * time.Millisecond
)

// instanceRecord is the value of an instance's object in the store.
type instanceRecord struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Weight     int    `json:"weight"`
}

// membership is the state of maintainMembership.
type membership struct {
	written   bool
	writtenAt time.Time
	// listed holds the instances of the last list, and the time since which each has been listed without a break.
	listed map[string]time.Time
	// listedAt is the time of the last list, fresh whether it was not allowed to be stale.
	listedAt time.Time
	fresh    bool
}

// maintainMembership writes this instance's object and reads those of the other instances, until ctx ends. Aggregators
// read them repeatedly and remove those of dead instances.
func (i *Instance) maintainMembership(ctx context.Context) {
	m := &membership{listed: make(map[string]time.Time)}
	backoff := joinBackoff
	for ctx.Err() == nil {
		delay := membershipInterval
		var err error
		if panicked := contain.Run(i.lg, "update membership", func() { err = i.updateMembership(ctx, m) }); panicked != nil {
			err = panicked
		}
		if err != nil {
			delay, backoff = backoff, min(2*backoff, maxJoinBackoff)
			i.lg.Warn("membership not updated", "error", err.Error(), "retry_ms", delay.Milliseconds())
		} else {
			backoff = joinBackoff
			if !i.joined.Load() {
				delay = controlInterval
			}
		}
		wait.For(ctx, delay)
	}
}

// updateMembership makes the calls that are due.
func (i *Instance) updateMembership(ctx context.Context, m *membership) error {
	now := clock.Now()
	if i.unlisted.Swap(false) && m.written {
		m.written = false // another instance has removed this one as dead
	}
	if !m.written {
		if err := i.writeRecord(ctx); err != nil {
			return err
		}
		m.written, m.writtenAt = true, now
	}
	if i.fleet.Followed(now) {
		i.joined.Store(true)
		i.shareRateLimits()
	}
	for i.listDue(now, m) {
		if err := i.listInstances(ctx, m); err != nil {
			return err
		}
	}
	return i.removeDead(ctx, m)
}

// listDue reports whether the instances' objects have to be read: once at the start, again if the first list may have been
// stale and no other instance answers or the data centre is small, and every listInterval at an aggregator, or while the last
// list is outdated.
func (i *Instance) listDue(now time.Time, m *membership) bool {
	switch {
	case m.listedAt.IsZero():
		return !i.settings.NewDeployment || now.Sub(m.writtenAt) >= newDeploymentDelay
	case !m.fresh && !i.joined.Load():
		return i.fleet.IsSmallCentre() || now.Sub(m.listedAt) >= relayWaitAtStart
	default:
		return now.Sub(m.listedAt) >= listInterval && (i.fleet.IsAggregator(now) || i.fleet.ListOutdated(now))
	}
}

// listInstances reads the instances' objects. The first read may be stale, since a digest confirms the number of
// instances; without a digest it is repeated, because an instance that does not know the others would use their shares of
// the limits.
func (i *Instance) listInstances(ctx context.Context, m *membership) error {
	stale := m.listedAt.IsZero() || i.joined.Load()
	listed, err := i.readInstances(ctx, stale)
	if err != nil {
		return err
	}
	now := clock.Now()
	since := make(map[string]time.Time, len(listed))
	for name := range listed {
		since[name] = now
		if earlier, ok := m.listed[name]; ok {
			since[name] = earlier
		}
	}
	m.listed, m.listedAt, m.fresh = since, now, !stale
	i.fleet.SetListed(listed)
	_, self := listed[i.settings.Instance]
	if !stale {
		i.joined.Store(true)
		i.shareRateLimits()
	}
	if !self && m.fresh {
		m.written = false // another instance has removed this one as dead
	}
	return nil
}

// removeDead deletes the objects of dead instances of the data centre, so that the other instances can use the dead ones'
// shares of the limits.
func (i *Instance) removeDead(ctx context.Context, m *membership) error {
	now := clock.Now()
	for _, name := range i.fleet.Dead(now, func(name string) time.Time { return m.listed[name] }) {
		request := objectapi.Request{Op: objectapi.OpDelete, Kind: objectapi.KindInstance, Name: name}
		if _, err := i.store.Do(ctx, request); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return err
		}
		i.fleet.Unlist(name)
		delete(m.listed, name)
		i.lg.Info("instance removed", "peer", name)
	}
	return nil
}

// writeRecord writes this instance's object to the store.
func (i *Instance) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(instanceRecord{
		Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre, Weight: i.settings.weight(),
	})
	if err != nil {
		return err
	}
	_, err = i.store.Do(ctx, objectapi.Create(objectapi.KindInstance, i.settings.Instance, value))
	if errors.Is(err, objectapi.ErrConflict) { // the object of an earlier start
		request := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindInstance, Name: i.settings.Instance, Value: value}
		_, err = i.store.Do(ctx, request)
	}
	return err
}

// readInstances reads the objects of all instances.
func (i *Instance) readInstances(ctx context.Context, stale bool) (map[string]fleetstate.Listing, error) {
	listed := make(map[string]fleetstate.Listing)
	for after := ""; ; {
		reply, err := i.store.Do(ctx, objectapi.Request{
			Op: objectapi.OpList, Kind: objectapi.KindInstance, After: after, AllowStale: stale,
		})
		if err != nil {
			return nil, err
		}
		for _, object := range reply.Objects {
			var record instanceRecord
			if err := json.Unmarshal(object.Value, &record); err != nil {
				i.lg.Warn("instance record ignored", "peer", object.Name, "error", err.Error())
				continue
			}
			listed[object.Name] = fleetstate.Listing{Address: record.Address, DataCentre: record.DataCentre, Weight: record.Weight}
		}
		if after = reply.Next; after == "" {
			return listed, nil
		}
	}
}

// awaitRelays waits until the instances that relay the store are known, or relayWaitAtStart after the instances were
// read.
func (i *Instance) awaitRelays(ctx context.Context) {
	var deadline time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		if deadline.IsZero() && i.fleet.KnowsOthers() {
			deadline = now.Add(relayWaitAtStart)
		}
		if i.fleet.Followed(now) || i.fleet.IsAggregator(now) && i.joined.Load() || !deadline.IsZero() && now.After(deadline) {
			return
		}
		wait.For(ctx, startPollInterval)
	}
}
