package main

import (
	"sync/atomic"
	"time"
)

// ingress chooses a machine for each new channel, in turn, as the platform does by a hash. It asks each machine once a
// second whether it is ready; after two misses the machine gets no new channels until it is ready again.
type ingress struct {
	d      *deployment
	next   atomic.Int64
	misses []atomic.Int64
	stop   chan struct{}
}

const missesToLeave = 2

func newIngress(d *deployment) *ingress {
	in := &ingress{d: d, misses: make([]atomic.Int64, len(d.nodes)), stop: make(chan struct{})}
	go in.ask()
	return in
}

func (in *ingress) close() { close(in.stop) }

func (in *ingress) ask() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-in.stop:
			return
		case <-ticker.C:
		}
		for n, node := range in.d.nodes {
			if node.isReady() {
				in.misses[n].Store(0)
			} else {
				in.misses[n].Add(1)
			}
		}
	}
}

// choose returns the machine for a new channel: one in rotation, or any if none is.
func (in *ingress) choose() *node {
	nodes := in.d.nodes
	start := int(in.next.Add(1))
	for n := range nodes {
		if k := (start + n) % len(nodes); in.misses[k].Load() < missesToLeave {
			return nodes[k]
		}
	}
	return nodes[start%len(nodes)]
}
