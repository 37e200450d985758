package main

import (
	"sync"
	"time"
)

const (
	// loadCallers is the number of clients of each process, loadPause the time between two requests of one.
	loadCallers = 4
	loadPause   = 40 * time.Millisecond
)

// load is a steady load of plain requests at all processes.
type load struct {
	ended   chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	calls   []sentCall
}

// sentCall is a request and its answer.
type sentCall struct {
	id     string
	answer answer
}

// startLoad sends POST requests to path at all processes until stop.
func (w *world) startLoad(path string) *load {
	l := &load{ended: make(chan struct{})}
	for _, n := range w.nodes {
		for range loadCallers {
			l.callers.Go(func() { l.run(w, n, path) })
		}
	}
	return l
}

func (l *load) run(w *world, n *node, path string) {
	c := &caller{address: n.address(n.front)}
	defer c.close()
	for {
		select {
		case <-l.ended:
			return
		case <-time.After(loadPause):
		}
		r := call{id: newID(), method: "POST", host: testHost, path: path, key: testKey, timeout: 1500 * time.Millisecond, body: []byte("{}")}
		a := c.do(r)
		w.rec.lineAt(a.sentAt, "request %s is sent to %s and answered after %d ms: %v", r.id, n.name, a.endedAt.Sub(a.sentAt).Milliseconds(), a)
		l.mu.Lock()
		l.calls = append(l.calls, sentCall{r.id, a})
		l.mu.Unlock()
	}
}

// stop ends the load and waits for the last answers.
func (l *load) stop() {
	close(l.ended)
	l.callers.Wait()
}
