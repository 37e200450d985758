package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// streamClients is the number of clients that send one stream after the other on a kept channel.
	streamClients = 12
	// allowedLost is the number of requests that the rule LOST allows.
	allowedLost = 3
)

// keptStreams sends one stream after the other on a channel to a machine. It counts the requests that a server began and
// whose channel ended without a complete answer.
func keptStreams(d *deployment, n *node, session string, stop chan struct{}, lost *atomic.Int64) {
	c, err := dial(n.front)
	if err != nil {
		d.rec.add("no channel to %s: %v", n.name, err)
		return
	}
	defer func() { c.close() }()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		got := c.send(draftPath, id, 8*time.Second, promptHeader(session))
		reached := false
		for _, s := range d.servers {
			reached = reached || s.arrived(id)
		}
		d.rec.add("%s sent to %s on a kept channel: status %d, complete %v, %v; passed on to a server: %v",
			id, n.name, got.status, got.complete, got.err, reached)
		if reached && (got.status == 0 || got.status == http.StatusOK && !got.complete) {
			lost.Add(1)
		}
		if got.closing {
			return
		}
		time.Sleep(got.retryAfter)
	}
}
