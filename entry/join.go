package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"knapweedhoist/clock"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
)

const (
	// joinBackoff is the wait after a failed call. It doubles up to maxJoinBackoff.
	joinBackoff    = 300 * time.Millisecond
	maxJoinBackoff = 3 * time.Second
	// joinInterval is the time between two reads of the instances' objects. The first read finds the other instances, and
	// reports announce new ones later; further reads serve to remove dead instances and to detect that this one was
	// removed.
	joinInterval = 10 * time.Second
)

// instanceRecord is the value of an instance's object in the store.
type instanceRecord struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// maintainMembership writes this instance's object, reads those of the other instances and removes those of dead ones,
// until ctx ends.
func (i *Instance) maintainMembership(ctx context.Context) {
	written := false
	backoff := joinBackoff
	for ctx.Err() == nil {
		delay := joinInterval
		var err error
		if !written {
			err = i.writeRecord(ctx)
			written = err == nil
		}
		if err == nil {
			written, err = i.readInstances(ctx)
		}
		if err == nil {
			err = i.removeDead(ctx)
		}
		switch {
		case err != nil:
			delay, backoff = backoff, min(2*backoff, maxJoinBackoff)
			i.lg.Warn("membership not updated", "error", err.Error(), "retry_ms", delay.Milliseconds())
		case !written:
			delay = joinBackoff // another instance has removed this one as dead
		default:
			backoff = joinBackoff
		}
		wait.For(ctx, delay)
	}
}

// removeDead deletes the objects of dead instances, so that the other instances can use the dead ones' shares of the
// limits. Only the first of the live instances by name does so.
func (i *Instance) removeDead(ctx context.Context) error {
	now := clock.Now()
	if i.directory.Rank(now, i.reportTimeout()) > 0 {
		return nil
	}
	for _, name := range i.directory.Dead(now) {
		request := objectapi.Request{Op: objectapi.OpDelete, Kind: objectapi.KindInstance, Name: name}
		if _, err := i.adapter.Store.Do(ctx, request); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return err
		}
		i.lg.Info("instance removed", "peer", name)
	}
	return nil
}

// writeRecord writes this instance's object to the store.
func (i *Instance) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(instanceRecord{Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre})
	if err != nil {
		return err
	}
	request := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindInstance, Name: i.settings.Instance, Value: value}
	_, err = i.adapter.Store.Do(ctx, request)
	return err
}

// readInstances reads the objects of all instances into the directory and reports whether this instance is among them.
// The first read must not be stale: an instance that does not know the others would use their shares of the limits.
func (i *Instance) readInstances(ctx context.Context) (listed bool, err error) {
	addresses := make(map[string]string)
	for after := ""; ; {
		reply, err := i.adapter.Store.Do(ctx, objectapi.Request{
			Op: objectapi.OpList, Kind: objectapi.KindInstance, After: after, AllowStale: i.joined.Load(),
		})
		if err != nil {
			return false, err
		}
		for _, object := range reply.Objects {
			var record instanceRecord
			if err := json.Unmarshal(object.Value, &record); err != nil {
				i.lg.Warn("instance record ignored", "peer", object.Name, "error", err.Error())
				continue
			}
			addresses[object.Name] = record.Address
		}
		if after = reply.Next; after == "" {
			break
		}
	}
	_, listed = addresses[i.settings.Instance]
	i.directory.SetListed(clock.Now(), addresses)
	i.updateMembers()
	i.joined.Store(true)
	return listed, nil
}
