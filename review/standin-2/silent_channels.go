package main

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainLimit is DrainMs, contactTime ContactMs.
	drainLimit  = 2 * time.Second
	contactTime = 3 * time.Second
	// servesOn is how long the server goes on after the ack: DrainMs and a little longer.
	servesOn = 3 * time.Second
)

// silentChannels: the open channels to the store go silent for good while new ones work, and a server that never reports
// draining leaves. Its entry is removed; it goes on serving for servesOn and exits.
func silentChannels(d *deployment) error {
	if err := errors.Join(d.startServers(plainService, 4), d.startServers(modelService, 1)); err != nil {
		return err
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var failed atomic.Int64
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			dispatches(d, d.nodes[n%len(d.nodes)], stop, &failed)
		}()
	}
	time.Sleep(6 * time.Second)
	leaving := d.servers[0]
	inTouch := time.Now()
	if d.trouble {
		d.relay.silence()
		inTouch = inTouch.Add(contactTime)
	}
	time.Sleep(500 * time.Millisecond)
	if err := d.store.Delete("servers", leaving.id); err != nil {
		return err
	}
	acknowledged := time.Now()
	d.rec.add("the store has acknowledged that %s is gone", leaving.id)
	failedBefore := failed.Load()
	time.Sleep(servesOn)
	leaving.close()
	d.rec.add("%s exits", leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	bound := acknowledged.Add(drainLimit)
	if inTouch.After(bound) {
		bound = inTouch
	}
	late := leaving.arrivedAfter(bound)
	for _, a := range late {
		d.rec.add("late: %s reached %s %.0f ms after the ack", a.id, leaving.id, a.at.Sub(acknowledged).Seconds()*1000)
	}
	d.rec.add("%d requests were answered 502 or not at all after the ack", failed.Load()-failedBefore)
	if len(late) > 0 {
		return broken("%d requests, sent on by machines in touch, reached the server later than DrainMs after the ack, the last one %.0f ms after it",
			len(late), late[len(late)-1].at.Sub(acknowledged).Seconds()*1000)
	}
	return nil
}

// dispatches sends requests that must not be repeated on one channel, one after the other, until stop. It counts those
// without an answer of a server.
func dispatches(d *deployment, n *node, stop chan struct{}, failed *atomic.Int64) {
	var c *channel
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = dial(n.front); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := newID()
		got := c.send("POST", dispatchPath, id, 1500*time.Millisecond, "")
		d.rec.add("%s sent to %s: status %d, complete %v", id, n.name, got.status, got.complete)
		if got.status == 0 || got.status == http.StatusBadGateway {
			failed.Add(1)
		}
		if got.closing {
			c.close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
