package knapweedhoist

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/platform"
)

// Name of the configuration document on the platform, and the times of its watch.
const (
	configName      = "current"
	configWatchWait = 25 * time.Second
	configRetry     = time.Second
)

// followConfiguration reads the document and every later version of it.
func (i *Instance) followConfiguration(ctx context.Context, apply func(*catalog.Document)) {
	var from platform.Version
	known := false
	for ctx.Err() == nil {
		reply, err := i.nextConfiguration(ctx, known, from)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			known = false
		case err != nil:
			i.lg.Warn("configuration cannot be read; keeping the last revision", "step", "configuration", "error", err)
			pause(ctx, configRetry)
		default:
			known, from = true, reply.Version
			i.applyObjects(reply, apply)
		}
	}
}

func (i *Instance) nextConfiguration(ctx context.Context, known bool, from platform.Version) (platform.Reply, error) {
	if !known {
		return i.store.Do(ctx, platform.Get(platform.KindConfig, configName))
	}
	return i.store.Do(ctx, platform.Request{
		Op: platform.OpWatch, Kind: platform.KindConfig, From: from, Wait: configWatchWait,
	})
}

func (i *Instance) applyObjects(reply platform.Reply, apply func(*catalog.Document)) {
	objects := []platform.Object{reply.Object}
	for _, event := range reply.Events {
		objects = append(objects, event.Object)
	}
	for _, object := range objects {
		if object.Name != configName {
			continue
		}
		document := &catalog.Document{}
		if err := json.Unmarshal(object.Value, document); err != nil {
			i.lg.Error("configuration document cannot be decoded", "step", "configuration", "error", err)
			continue
		}
		apply(document)
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
