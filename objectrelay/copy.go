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

	"knapweedhoist/internal/defaults"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectwatch"
)

// defaultMaxHistoryBytes is the default of CopyConfig.MaxHistoryBytes.
const defaultMaxHistoryBytes = 4 << 20

// CopyConfig configures a Copy.
type CopyConfig struct {
	Kind objectapi.Kind
	// MaxAge is the age above which the copy refuses reads.
	MaxAge time.Duration
	// MaxHistoryBytes bounds the memory of the changes that are kept for watches, in bytes. Default 4 MiB.
	MaxHistoryBytes int
	// IsShared reports whether others read the copy. While it returns false no changes are kept, and a watch from an older
	// version is answered with ErrCompacted. nil keeps them always.
	IsShared func() bool
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
	// encodedObjects is the encoding of objects that all lists share, nil until the first list after a change.
	encodedObjects []byte
	history        history
	// position is that of the store which objects reflects. All changes of history are of its era.
	position objectapi.Position
	// confirmedAt is the latest time at which the copy is known to have been complete.
	confirmedAt time.Time
	// unavailable is set before the first list and while the store does not answer.
	unavailable bool
	// changed is closed and replaced at each change and when the store stops answering.
	changed chan struct{}
}

// NewCopy returns an empty Copy that passes the calls of the watch to next.
func NewCopy(cfg CopyConfig, next objectwatch.Sink) *Copy {
	defaults.Set(&cfg.MaxHistoryBytes, defaultMaxHistoryBytes)
	return &Copy{
		cfg: cfg, next: next, unavailable: true, objects: make(map[string]objectapi.Object), changed: make(chan struct{}),
		history: history{maxBytes: cfg.MaxHistoryBytes},
	}
}

// Replace implements objectwatch.Sink.
func (c *Copy) Replace(objects []objectapi.Object, position objectapi.Position) {
	c.next.Replace(objects, position)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]objectapi.Object, len(objects))
	for _, object := range objects {
		c.objects[object.Name] = object
	}
	c.encodedObjects = nil
	c.history.reset(position.Version)
	c.position = position
	c.wakeWatches()
}

// Apply implements objectwatch.Sink.
func (c *Copy) Apply(events []objectapi.WatchEvent, position objectapi.Position) {
	c.next.Apply(events, position)
	var encoded []byte
	var err error
	isShared := c.cfg.IsShared == nil || c.cfg.IsShared()
	if isShared {
		encoded, err = encodeChanges(events)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(c.objects, event.Object.Name)
			continue
		}
		c.objects[event.Object.Name] = event.Object
	}
	c.encodedObjects = nil
	c.position = position
	if isShared && err == nil {
		c.history.add(batch{version: position.Version, changes: len(events), encoded: encoded})
	} else {
		c.history.reset(position.Version)
	}
	c.wakeWatches()
}

// HistoryBytes returns the memory of the changes that are kept for watches.
func (c *Copy) HistoryBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.history.bytes)
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

// Do answers a list or watch from the copy. It implements objectapi.Store, with the errors of read.
func (c *Copy) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	answer, err := c.read(ctx, request)
	if err != nil {
		return objectapi.Reply{}, err
	}
	return answer.decode(c.cfg.Kind)
}

// read answers a list or watch from the copy. It returns ErrUnavailable before the first list, while the store does not
// answer, if the copy is older than MaxAge or of an earlier era than Request.From, and if ctx ends; ErrCompacted if the history
// no longer holds all changes after Request.From, or is of a later era; and ErrInvalid for other operations.
func (c *Copy) read(ctx context.Context, request objectapi.Request) (encodedReply, error) {
	switch request.Op {
	case objectapi.OpList:
		return c.list(request.From.Era)
	case objectapi.OpWatch:
		return c.watch(ctx, request)
	default:
		return encodedReply{}, objectapi.ErrInvalid
	}
}

// list returns all objects to a reader that knows the given era.
func (c *Copy) list(known objectapi.Era) (encodedReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.age(known)
	if err != nil {
		return encodedReply{}, err
	}
	if c.encodedObjects == nil {
		objects := slices.SortedFunc(maps.Values(c.objects), func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
		if c.encodedObjects, err = encodeObjects(objects); err != nil {
			return encodedReply{}, err
		}
	}
	return encodedReply{parts: [][]byte{c.encodedObjects}, position: c.position, age: age}, nil
}

// age returns the time since the copy was last complete, or ErrUnavailable if the copy must not answer a reader that knows the
// given era. The caller holds c.mu.
func (c *Copy) age(known objectapi.Era) (time.Duration, error) {
	age := c.cfg.Now().Sub(c.confirmedAt)
	if c.unavailable || age > c.cfg.MaxAge || known > c.position.Era {
		return 0, objectapi.ErrUnavailable
	}
	return age, nil
}

func (c *Copy) watch(ctx context.Context, request objectapi.Request) (encodedReply, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for waiting := true; ; {
		reply, changed, err := c.changesSince(request.From)
		if err != nil || len(reply.parts) > 0 || !waiting {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return encodedReply{}, objectapi.ErrUnavailable
		}
	}
}

// changesSince returns the changes after a position, and a channel that is closed at the next change or when the store
// stops answering.
func (c *Copy) changesSince(from objectapi.Position) (encodedReply, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.age(from.Era)
	if err != nil {
		return encodedReply{}, nil, err
	}
	if c.position.Era > from.Era {
		return encodedReply{}, nil, objectapi.ErrCompacted
	}
	parts, err := c.history.since(from.Version)
	if err != nil {
		return encodedReply{}, nil, err
	}
	position := c.position
	position.Version = max(position.Version, from.Version)
	return encodedReply{parts: parts, position: position, age: age}, c.changed, nil
}
