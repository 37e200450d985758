// Package objectrelay lets a few entry instances of each data centre watch the
// store and answer the same reads of the others, so that the calls to the store
// do not grow with the instances.
//
// A Copy is what a watching instance has read; a Source sends an instance's
// reads to such a copy, or to the store where there is none that is current.
// Every answer carries the age of what it shows, which an instance adds to its
// own, so that a chain of copies never looks younger than it is.
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

// maxHistory is the number of changes that a watch of a copy can go back. A
// reader that is further behind lists again.
const maxHistory = 512

// CopyConfig describes a Copy.
type CopyConfig struct {
	Kind objectapi.Kind
	// MaxAge is the age up to which the copy answers.
	MaxAge time.Duration
	// Now is a clock that counts suspended time.
	Now func() time.Time
}

// Copy is a copy of all objects of one kind that others may read. It passes
// what it is told on to the next sink first. It is safe for concurrent use.
type Copy struct {
	cfg  CopyConfig
	next objectwatch.Sink

	mu      sync.Mutex
	objects map[string]objectapi.Object
	history []batch
	// oldest is the version behind which the history is complete.
	oldest, version objectapi.Version
	confirmed       time.Time
	// lost is set before the first list and while the store does not answer.
	lost bool
	// changed is closed and replaced at each change and when the copy is lost.
	changed chan struct{}
}

// batch has the changes of one answer of the store, whose versions are at most at.
type batch struct {
	at     objectapi.Version
	events []objectapi.WatchEvent
}

// NewCopy returns an empty Copy in front of next.
func NewCopy(cfg CopyConfig, next objectwatch.Sink) *Copy {
	return &Copy{
		cfg: cfg, next: next, lost: true, objects: make(map[string]objectapi.Object), changed: make(chan struct{}),
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
	c.history, c.oldest, c.version = nil, version, version
	c.wake()
}

// Change implements objectwatch.Sink.
func (c *Copy) Change(events []objectapi.WatchEvent, version objectapi.Version) {
	c.next.Change(events, version)
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
	c.history = append(c.history, batch{at: version, events: events})
	c.forget()
	c.wake()
}

// forget bounds the history.
func (c *Copy) forget() {
	count := 0
	for _, b := range c.history {
		count += len(b.events)
	}
	for count > maxHistory && len(c.history) > 1 {
		count -= len(c.history[0].events)
		c.oldest = c.history[0].at
		c.history = c.history[1:]
	}
}

func (c *Copy) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Current implements objectwatch.Sink.
func (c *Copy) Current(age time.Duration) {
	c.next.Current(age)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed, c.lost = c.cfg.Now().Add(-age), false
}

// Lost implements objectwatch.Sink.
func (c *Copy) Lost(err error) {
	c.next.Lost(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
	c.wake()
}

// Regained implements objectwatch.Sink.
func (c *Copy) Regained() { c.next.Regained() }

// Do answers a list or watch from the copy. It implements objectapi.Store. The
// error is ErrUnavailable while the copy may be old.
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

// age returns how old the copy is. The caller holds c.mu.
func (c *Copy) age() (time.Duration, error) {
	age := c.cfg.Now().Sub(c.confirmed)
	if c.lost || age > c.cfg.MaxAge {
		return 0, objectapi.ErrUnavailable
	}
	return age, nil
}

func (c *Copy) watch(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for waiting := true; ; {
		reply, changed, err := c.since(request.From)
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

// since returns the changes behind a version, and a channel that is closed at the next change. A batch that the
// reader has in part is given whole: applied in order it leads to the same state.
func (c *Copy) since(from objectapi.Version) (objectapi.Reply, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, err := c.age()
	if err != nil {
		return objectapi.Reply{}, nil, err
	}
	if from < c.oldest {
		return objectapi.Reply{}, nil, objectapi.ErrCompacted
	}
	reply := objectapi.Reply{Version: max(c.version, from), Age: age}
	for _, b := range c.history {
		if b.at > from {
			reply.Events = append(reply.Events, b.events...)
		}
	}
	return reply, c.changed, nil
}
