package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// usersPerSecond is below the requests a second on the sheet of hlh-snowdesk, 78.7.
	usersPerSecond = 78
	// usersFor is how long users come.
	usersFor = 85 * time.Second
	// streamClients is the number of clients that send one stream after the other on a kept channel.
	streamClients = 12
	// allowedLost is the number of requests that the rule LOST allows.
	allowedLost = 3
)

// idleChannels: each user opens a channel, sends one request, gets its answer and stays idle. The operator's configuration
// bounds the idle time to 15 s. One of the two machines is lost for good, so that the other one has to bear all users.
func idleChannels(d *deployment) error {
	if err := checkFileLimit(); err != nil {
		return err
	}
	if err := errors.Join(d.startServers(plainService, 4), d.startServers(modelService, 4)); err != nil {
		return err
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	survivor, lostNode := d.nodes[0], d.nodes[1]
	in := newIngress(d)
	stop := make(chan struct{})
	var streams, users sync.WaitGroup
	var lost atomic.Int64
	for n := range streamClients {
		streams.Add(1)
		go func() {
			defer streams.Done()
			keptStreams(d, survivor, fmt.Sprintf("%08x", n+1), stop, &lost)
		}()
	}
	begin := time.Now()
	ticker := time.NewTicker(time.Second / usersPerSecond)
	defer ticker.Stop()
	nextReport, killed := begin, false
	var open idleSet
	for time.Since(begin) < usersFor && !survivor.exited.Load() {
		<-ticker.C
		users.Add(1)
		go func() {
			defer users.Done()
			user(d, in, &open)
		}()
		if d.trouble && !killed && time.Since(begin) > 5*time.Second {
			killed = true
			d.rec.add("%s is lost for good", lostNode.name)
			lostNode.kill()
		}
		if time.Now().After(nextReport) {
			nextReport = nextReport.Add(5 * time.Second)
			d.rec.add("%s: %d descriptors, %d MB; %d channels of users are open", survivor.name, survivor.files(), survivor.memory(), open.count())
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	users.Wait()
	streams.Wait()
	open.closeAll()
	in.close()
	if n := lost.Load(); n > allowedLost {
		return broken("%d requests on kept channels were passed on to sound servers by %s and got no answer; its process ended by itself: %v",
			n, survivor.name, survivor.exited.Load())
	}
	return nil
}

// neededFiles is the number of descriptors that the case's own process needs for the clients and the servers.
const neededFiles = 9000

// checkFileLimit checks that this process may open neededFiles descriptors. The Go runtime has raised its soft limit to the
// hard one.
func checkFileLimit() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < neededFiles {
		return fmt.Errorf("the case needs %d descriptors, the limit is %d", neededFiles, limit.Cur)
	}
	return nil
}

// user opens a channel, sends one request and leaves the channel open until the machine closes it.
func user(d *deployment, in *ingress, open *idleSet) {
	n := in.choose()
	c, err := dial(n.front)
	if err != nil {
		d.rec.add("no channel to %s: %v", n.name, err)
		return
	}
	id := newID()
	got := c.send("GET", lookupPath, id, 1500*time.Millisecond, "")
	d.rec.add("%s sent to %s on a new channel: status %d, complete %v", id, n.name, got.status, got.complete)
	if got.closing {
		c.close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	open.add(c)
	_, _ = c.reader.ReadByte() // returns when the machine closes the channel
	c.close()
	open.remove(c)
}

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
		got := c.send("POST", draftPath, id, 8*time.Second, promptHeader(session))
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
	}
}

// idleSet holds the open channels of users.
type idleSet struct {
	mu       sync.Mutex
	channels map[*channel]bool
}

func (s *idleSet) add(c *channel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.channels == nil {
		s.channels = make(map[*channel]bool)
	}
	s.channels[c] = true
}

func (s *idleSet) remove(c *channel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.channels, c)
}

func (s *idleSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.channels)
}

func (s *idleSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.channels {
		c.close()
	}
}
