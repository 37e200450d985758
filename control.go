package knapweedhoist

import (
	"context"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/roster"
	"knapweedhoist/timeline"
)

// rosterInterval is the time between two reads of the lagging list.
const rosterInterval = time.Second

// control owns the control state of the instance. Its run method is the only
// goroutine that touches it; others send events and read the published view.
type control struct {
	instance  *Instance
	documents chan *catalog.Document
	rosters   chan roster.Snapshot

	current view
}

func newControl(instance *Instance) *control {
	return &control{
		instance:  instance,
		documents: make(chan *catalog.Document),
		rosters:   make(chan roster.Snapshot),
		current:   view{document: &catalog.Document{}},
	}
}

func (c *control) run(ctx context.Context) {
	for {
		select {
		case document := <-c.documents:
			c.applyDocument(document)
		case snapshot := <-c.rosters:
			c.applyRoster(snapshot)
		case <-ctx.Done():
			return
		}
		published := c.current
		c.instance.view.Store(&published)
		c.instance.gateway.SetReady(c.current.document.Revision > 0 && len(c.current.endpoints) > 0)
	}
}

// applyDocument keeps the newest revision; older ones from any source are ignored.
func (c *control) applyDocument(document *catalog.Document) {
	if document.Revision <= c.current.document.Revision {
		return
	}
	c.current.document = document
	c.instance.recorder.Record(timeline.Event{
		Kind: timeline.KindRevision, Revision: document.Revision, Preset: document.InForce,
	})
	c.instance.lg.Info("configuration revision in force", "revision", document.Revision, "preset", document.InForce)
}

func (c *control) applyRoster(snapshot roster.Snapshot) {
	endpoints := make([]endpoint, 0, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		if entry.Kind != roster.KindEndpoint {
			continue
		}
		endpoints = append(endpoints, endpoint{
			id: entry.ID, service: entry.Service, datacentre: entry.Datacentre, address: entry.Address,
			leaving: entry.State == roster.StateLeaving,
		})
	}
	c.current.endpoints = endpoints
}

// readRoster sends each state of the lagging list to the control goroutine.
func (c *control) readRoster(ctx context.Context, list roster.List) {
	for ctx.Err() == nil {
		snapshot, err := list.Read(ctx)
		if err != nil {
			c.instance.lg.Warn("lagging list cannot be read", "step", "roster", "error", err)
		} else {
			send(ctx, c.rosters, snapshot)
		}
		pause(ctx, rosterInterval)
	}
}

// send gives value to the control goroutine unless ctx ends first.
func send[T any](ctx context.Context, events chan<- T, value T) {
	select {
	case events <- value:
	case <-ctx.Done():
	}
}
