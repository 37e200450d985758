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
	// joinPause is the pause after a failed call; it doubles up to maxJoinPause.
	joinPause    = 300 * time.Millisecond
	maxJoinPause = 3 * time.Second
	// joinInterval is the period in which the instances are read again. New ones make themselves known by their
	// reports; the list only drops those that are gone.
	joinInterval = 10 * time.Second
)

// instanceRecord is the value of this instance's object.
type instanceRecord struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// keepJoined writes this instance's object and reads those of the others, until the end of ctx.
func (i *Instance) keepJoined(ctx context.Context) {
	written := false
	retry := joinPause
	for ctx.Err() == nil {
		pause := joinInterval
		var err error
		if !written {
			err = i.writeRecord(ctx)
			written = err == nil
		}
		if err == nil {
			written, err = i.readInstances(ctx)
		}
		if err == nil {
			err = i.removeGone(ctx)
		}
		switch {
		case err != nil:
			pause, retry = retry, min(2*retry, maxJoinPause)
			i.lg.Warn("instances not read", "error", err.Error(), "retry_ms", pause.Milliseconds())
		case !written:
			pause = joinPause // somebody has taken this instance for gone
		default:
			retry = joinPause
		}
		wait.For(ctx, pause)
	}
}

// removeGone deletes the objects of instances that are gone for good, whose shares of the limits nobody uses. The first
// of the instances does it.
func (i *Instance) removeGone(ctx context.Context) error {
	now := clock.Now()
	if i.directory.Rank(now, i.silence()) > 0 {
		return nil
	}
	for _, name := range i.directory.Gone(now) {
		request := objectapi.Request{Op: objectapi.OpDelete, Kind: objectapi.KindInstance, Name: name}
		if _, err := i.adapter.Store.Do(ctx, request); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return err
		}
		i.lg.Info("instance removed", "peer", name)
	}
	return nil
}

func (i *Instance) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(instanceRecord{Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre})
	if err != nil {
		return err
	}
	request := objectapi.Request{Op: objectapi.OpPut, Kind: objectapi.KindInstance, Name: i.settings.Instance, Value: value}
	_, err = i.adapter.Store.Do(ctx, request)
	return err
}

// readInstances reports whether this instance is in the list. The first read
// must be current: an instance that does not know the others would use their
// shares of the limits.
func (i *Instance) readInstances(ctx context.Context) (listed bool, err error) {
	addresses := make(map[string]string)
	for after := ""; ; {
		reply, err := i.adapter.Store.Do(ctx, objectapi.Request{
			Op: objectapi.OpList, Kind: objectapi.KindInstance, After: after, Stale: i.joined.Load(),
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
	i.spread()
	i.joined.Store(true)
	return listed, nil
}
