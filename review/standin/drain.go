package main

import (
	"sync"
	"time"
)

func init() { scenarios["drain-silent"] = drainSilent }

// drainSilent: all open channels go silent, and a server leaves without reporting draining.
func drainSilent(w *world) error {
	for _, id := range []string{"i-aaaaaaa1", "i-aaaaaaa2", "i-aaaaaaa3"} {
		b, err := w.startBackend(id, "wuno96b", "za", nil)
		if err != nil {
			return err
		}
		w.store.put("servers", id, b.entry("ready"))
	}
	w.store.put("config", "main", configOf(1, []any{route("r-1", "/puxa403/", "safe", "wuno96b", 2)},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConnections": 100}}))
	if err := w.startNodes("za", "zb"); err != nil {
		return err
	}
	leaver := w.backends[0]
	type arrival struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	var arrivals []arrival
	leaver.onRequest = func(c *exchange) {
		mu.Lock()
		arrivals = append(arrivals, arrival{c.at, c.id()})
		mu.Unlock()
	}
	sent := make(map[string]time.Time)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range w.nodes {
		for range 4 {
			callers.Go(func() {
				c := &caller{address: n.address(n.front)}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					r := call{id: newID(), method: "GET", host: "ficu95.example", path: "/puxa403/lo", key: testKey, timeout: 1500 * time.Millisecond}
					mu.Lock()
					sent[r.id] = time.Now()
					mu.Unlock()
					a := c.do(r)
					if a.status != 200 {
						w.rec.line("%s answered %v", r.id, a)
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	silentAt := time.Now()
	if w.trouble {
		w.rec.line("%d channels to the store go silent", w.store.gate.silence())
	}
	time.Sleep(100 * time.Millisecond)
	leftAt := w.store.remove("servers", leaver.id)
	w.rec.lineAt(leftAt, "the store acknowledges that %s is gone", leaver.id)
	time.Sleep(6 * time.Second)
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	last := time.Time{}
	for _, a := range arrivals {
		last = a.at
		if a.at.After(leftAt.Add(2*time.Second)) && sent[a.id].After(silentAt.Add(3050*time.Millisecond)) {
			w.violation("request %s, sent at %.3f s, reaches %s %d ms after its leaving was acknowledged", a.id,
				w.rec.since(sent[a.id]).Seconds(), leaver.id, a.at.Sub(leftAt).Milliseconds())
		}
	}
	w.rec.say("last request at %s %d ms after the acknowledgement", leaver.id, last.Sub(leftAt).Milliseconds())
	return nil
}
