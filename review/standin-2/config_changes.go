package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// moreRoutes is how many routes the configuration grows by: twice the count of big_config in hlh-snowdesk-grown, 1,776.
	moreRoutes = 3552
	// storms config_storms come one after the other. In each the operator makes stormChanges changes, one every changeGap;
	// stormPause lies between them.
	storms       = 9
	stormChanges = 60
	changeGap    = 60 * time.Millisecond
	stormPause   = 5 * time.Second
)

// configChanges: the configuration is large, and the operator changes it in quick succession, several times. The platform
// kills a process whose memory exceeds MemoryMb.
func configChanges(d *deployment) error {
	if err := errors.Join(d.startServers(plainService, 4), d.startServers(modelService, 4)); err != nil {
		return err
	}
	d.idleRoutes = moreRoutes
	if err := d.configure(); err != nil {
		return err
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost atomic.Int64
	for k := range streamClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			keptStreams(d, d.nodes[k%len(d.nodes)], fmt.Sprintf("%08x", k+1), stop, &lost)
		}()
	}
	var watched sync.WaitGroup
	for _, n := range d.nodes {
		watched.Add(1)
		go func() {
			defer watched.Done()
			d.killAboveLimit(n, stop)
		}()
	}
	err := d.changeConfig()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	watched.Wait()
	if err != nil {
		return err
	}
	if count := lost.Load(); count > allowedLost {
		return broken("%d requests on kept channels were passed on to sound servers and got no answer", count)
	}
	return nil
}

// changeConfig makes the changes; without the disruption a single one in place of each storm.
func (d *deployment) changeConfig() error {
	for storm := range storms {
		changes := stormChanges
		if !d.trouble {
			changes = 1
		}
		next := time.Now()
		for range changes {
			time.Sleep(time.Until(next))
			next = next.Add(changeGap)
			if err := d.configure(); err != nil {
				return err
			}
		}
		d.rec.add("storm %d of %d has ended, version %d", storm+1, storms, d.version)
		for _, n := range d.nodes {
			if n.exited.Load() {
				return nil
			}
			d.rec.add("%s uses %d MB", n.name, n.memory())
		}
		time.Sleep(stormPause)
	}
	return nil
}

// killAboveLimit kills a process as the platform does when its memory exceeds MemoryMb. It returns at stop.
func (d *deployment) killAboveLimit(n *node, stop chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			d.rec.add("%s used %d MB at most", n.name, peak)
			return
		case <-time.After(5 * time.Millisecond):
		}
		memory := n.memory()
		peak = max(peak, memory)
		if memory > memoryMB && !n.exited.Load() {
			d.rec.add("%s uses %d MB: the platform kills it", n.name, memory)
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.ended
		}
	}
}
