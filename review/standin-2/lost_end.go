package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lossServers of modelServers lose the end of lossShare of their answers, for lossTime.
	modelServers = 5
	lossServers  = 3
	lossShare    = 0.4
	lossTime     = 4 * time.Second
	// resumingClients send about 55 streams a second; the sheet of hlh-snowdesk has 57.5.
	resumingClients = 30
)

// lostEnd: some model servers run streams to their end, and the end of the answer is lost: the channel is reset after the
// last event. The streams may be resumed, and other servers are sound.
func lostEnd(d *deployment) error {
	if err := d.startServers(plainService, 1); err != nil {
		return err
	}
	if err := d.startServers(modelService, modelServers); err != nil {
		return err
	}
	var losing atomic.Bool
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	for _, s := range d.servers[1:] {
		s.interval = 50 * time.Millisecond
	}
	for _, s := range d.servers[1 : 1+lossServers] {
		s.losesEnd = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return losing.Load() && random.Float64() < lossShare
		}
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost, failed atomic.Int64
	for k := range resumingClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.resumingClient(d.nodes[k%len(d.nodes)], fmt.Sprintf("%08x", k+1), stop, &lost, &failed)
		}()
	}
	time.Sleep(time.Second)
	losing.Store(d.trouble)
	d.rec.add("%d of %d model servers lose the end of answers from now on: %v", lossServers, modelServers, d.trouble)
	time.Sleep(lossTime)
	losing.Store(false)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	d.rec.add("%d resumed streams were answered by sound servers and failed all the same", failed.Load())
	if count := lost.Load(); count > allowedLost {
		return broken("%d requests on kept channels were passed on to sound servers, which answered them completely, and their channels were closed without a complete answer; %d streams that clients resumed afterwards failed",
			count, failed.Load())
	}
	return nil
}

// resumingClient sends one stream after the other on a kept channel to a machine, until stop. It resumes a broken one once, on
// a new channel, as clients may. It counts the requests that a sound server answered and whose channel was closed without a
// complete answer, and the resumed ones that failed although a sound server answered them.
func (d *deployment) resumingClient(n *node, session string, stop chan struct{}, lost, failed *atomic.Int64) {
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
				d.rec.add("no channel to %s: %v", n.name, err)
				return
			}
		}
		id := newID()
		got := c.send(draftPath, id, 8*time.Second, promptHeader(session))
		events := strings.Count(got.body, "\n\n")
		d.rec.add("%s sent to %s on a kept channel: status %d, %d events, complete %v; answered by a sound server: %v",
			id, n.name, got.status, events, got.complete, d.answeredSoundly(id))
		if !got.closing {
			time.Sleep(got.retryAfter)
			continue
		}
		c.close()
		c = nil
		if got.status == http.StatusOK && !got.complete {
			if d.answeredSoundly(id) {
				lost.Add(1)
			}
			if !d.resume(n, session, events) {
				failed.Add(1)
			}
		}
	}
}

// resume sends a stream again that broke after an event. It returns false if it failed although a server answered it
// completely.
func (d *deployment) resume(n *node, session string, after int) bool {
	c, err := dial(n.front)
	if err != nil {
		return true
	}
	defer c.close()
	id := newID()
	got := c.send(draftPath, id, 8*time.Second, promptHeader(session)+fmt.Sprintf("Last-Event-Id: %d\r\n", after))
	d.rec.add("%s sent to %s to go on after event %d: status %d, complete %v; answered by a sound server: %v",
		id, n.name, after, got.status, got.complete, d.answeredSoundly(id))
	return got.status == http.StatusOK && got.complete || !d.answeredSoundly(id)
}

// answeredSoundly reports whether a server has answered a request completely.
func (d *deployment) answeredSoundly(id string) bool {
	for _, s := range d.servers {
		if s.answered(id) {
			return true
		}
	}
	return false
}
