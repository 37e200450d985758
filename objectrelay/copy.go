// Package objectrelay lets a few entry instances of each data centre, the relays, watch the store and answer the same
// reads of the others from their copies, so that the calls to the store do not grow with the number of instances.
//
// A Copy holds the objects that an instance has read. A Source sends the reads of an instance to a relay, or to the store
// if there is no relay or the read of the relay fails, for example because its copy is too old. Every answer carries the
// age of its data, and each reader adds the age of its own copy, so that a chain of copies never reports a lower age than
// its data has.
package objectrelay

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/objectwatch"
)

// maxHistory is the number of changes that a copy keeps for watches. A reader that is further behind lists again.
const maxHistory = 512

// CopyConfig configures a Copy.
type CopyConfig struct {
	Kind objectapi.Kind
	// MaxAge is the age above which the copy refuses reads.
	MaxAge time.Duration
	// Now returns the time of a clock that also advances while the machine is suspended.
	Now func() time.Time
}

// Copy is a copy of all objects of one kind that other instances may read. It passes each call of the watch to the next
// sink before it applies the call itself. It is safe for concurrent use.
type Copy struct {
	cfg  CopyConfig
	next objectwatch.Sink

	mu      sync.Mutex
	objects map[string]objectapi.Object
	history []batch
	// historyStart is the version after which the history is complete. version is the version of the store that objects
	// reflects.
	historyStart, version objectapi.Version
	// confirmedAt is the latest time at which the copy is known to have been complete.
	confirmedAt time.Time
	// unavailable is set before the first list and while the store does not answer.
	unavailable bool
	// changed is closed and replaced at each change and when the store stops answering.
	changed chan struct{}
}

// batch holds the changes of one answer of the store. The version of the last change is at most version.
type batch struct {
	version objectapi.Version
	events  []objectapi.WatchEvent
}

// NewCopy returns an empty Copy that passes the calls of the watch to next.
func NewCopy(cfg CopyConfig, next objectwatch.Sink) *Copy {
	return &Copy{
		cfg: cfg, next: next, unavailable: true, objects: make(map[string]objectapi.Object), changed: make(chan struct{}),
	}
}

// Replace implements objectwatch.Sink.
func (c *Copy) Replace(objects []objectapi.Object, version objectapi.Version) {
	c.next.Replace(objects, version)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]objectapi.Object, len(objects))
	for _, object := range objects {
		c.objects[object.Name] = object
	}
	c.history, c.historyStart, c.version = nil, version, version
	c.wakeWatches()
}

// Apply implements objectwatch.Sink.
func (c *Copy) Apply(events []objectapi.WatchEvent, version objectapi.Version) {
	c.next.Apply(events, version)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(c.objects, event.Object.Name)
			continue
		}
		c.objects[event.Object.Name] = event.Object
	}
	c.version = version
	c.history = append(c.history, batch{version: version, events: events})
	c.trimHistory()
	c.wakeWatches()
}

// trimHistory drops the oldest batches until at most maxHistory changes or one batch is left. The caller holds c.mu.
func (c *Copy) trimHistory() {
	count := 0
	for _, b := range c.history {
		count += len(b.events)
	}
	for count > maxHistory && len(c.history) > 1 {
		count -= len(c.history[0].events)
		c.historyStart = c.history[0].version
		c.history = c.history[1:]
	}
}

// wakeWatches ends the waits of all watches of the copy. The caller holds c.mu.
func (c *Copy) wakeWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Confirm implements objectwatch.Sink.
func (c *Copy) Confirm(age time.Duration) {
	c.next.Confirm(age)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt, c.unavailable = c.cfg.Now().Add(-age), false
}

// WatchLost implements objectwatch.Sink.
func (c *Copy) WatchLost(err error) {
	c.next.WatchLost(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = true
	c.wakeWatches()
}

// WatchRegained implements objectwatch.Sink.
func (c *Copy) WatchRegained() { c.next.WatchRegained() }

// Do answers a list or watch from the copy. It implements objectapi.Store. It returns ErrUnavailable before the first
// list, while the store does not answer, if the copy is older than MaxAge and if ctx ends; ErrCompacted if the history
// no longer holds all changes after Request.From; and ErrInvalid for other operations.
func (c *Copy) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	switch request.Op {
	case objectapi.OpList:
		return c.list()
	case objectapi.OpWatch:
		return c.watch(ctx, request)
	default:
		return objectapi.Reply{}, objectapi.ErrInvalid
	}
}

func (c *Copy) list() (objectapi.Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.age()
	if err != nil {
		return objectapi.Reply{}, err
	}
	objects := slices.SortedFunc(maps.Values(c.objects), func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
	return objectapi.Reply{Objects: objects, Version: c.version, Age: age}, nil
}

// age returns the time since the copy was last complete, or ErrUnavailable if the copy must not answer. The caller holds
// c.mu.
func (c *Copy) age() (time.Duration, error) {
	age := c.cfg.Now().Sub(c.confirmedAt)
	if c.unavailable || age > c.cfg.MaxAge {
		return 0, objectapi.ErrUnavailable
	}
	return age, nil
}

func (c *Copy) watch(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for waiting := true; ; {
		reply, changed, err := c.changesSince(request.From)
		if err != nil || len(reply.Events) > 0 || !waiting {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return objectapi.Reply{}, objectapi.ErrUnavailable
		}
	}
}

// changesSince returns the changes after a version, and a channel that is closed at the next change or when the store
// stops answering. A batch of which the reader has a part is returned whole: applied in order, it leads to the same state.
func (c *Copy) changesSince(from objectapi.Version) (objectapi.Reply, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.age()
	if err != nil {
		return objectapi.Reply{}, nil, err
	}
	if from < c.historyStart {
		return objectapi.Reply{}, nil, objectapi.ErrCompacted
	}
	reply := objectapi.Reply{Version: max(c.version, from), Age: age}
	for _, b := range c.history {
		if b.version > from {
			reply.Events = append(reply.Events, b.events...)
		}
	}
	return reply, c.changed, nil
}
