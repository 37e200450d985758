package main

import (
	"sync"
	"time"
)

func init() { scenarios["drain"] = drain }

// Bounds of the rules in the case, as the sheet of the deployment states them.
const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	// measureSlack is left out at both bounds, for the time between an event and its record.
	measureSlack = 50 * time.Millisecond
)

// drain: all open channels go silent while new ones work, and a server leaves without having reported draining: its entry is
// removed.
func drain(w *world) error {
	handle := func(b *backend, c *exchange) bool {
		time.Sleep(60 * time.Millisecond)
		return b.write200(c, "ok "+c.id()+"\n")
	}
	for _, id := range []string{"i-aaaaaaa1", "i-aaaaaaa2", "i-aaaaaaa3"} {
		b, err := w.startBackend(id, "wuno96b", "za", handle)
		if err != nil {
			return err
		}
		w.store.put("servers", id, b.entry())
	}
	w.store.put("config", "main", configOf(1, []any{route("r-1", "/puxa403/", "unsafe", "wuno96b", 1)},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConnections": 100}}))
	if err := w.startNodes("za", "zb"); err != nil {
		return err
	}
	leaver := w.backends[0]
	arrivals := &arrivalLog{at: make(map[string]time.Time)}
	leaver.onRequest = func(c *exchange) { arrivals.add(c.id(), c.at) }
	load := w.startLoad("/puxa403/2f")

	time.Sleep(4 * time.Second)
	joiner, err := w.startBackend("i-aaaaaaa4", "wuno96b", "zb", handle)
	if err != nil {
		return err
	}
	w.store.put("servers", joiner.id, joiner.entry())
	w.rec.line("%s joins", joiner.id)
	time.Sleep(100 * time.Millisecond)
	silentAt := time.Now()
	if w.trouble {
		w.rec.line("%d open channels to the store go silent", w.store.gate.silence())
	}
	time.Sleep(100 * time.Millisecond)
	leftAt := w.store.remove("servers", leaver.id)
	w.rec.lineAt(leftAt, "the store acknowledges that %s is gone", leaver.id)
	time.Sleep(time.Until(leftAt.Add(3900 * time.Millisecond)))
	leaver.exit()
	w.rec.line("%s exits", leaver.id)
	time.Sleep(2 * time.Second)
	load.stop()

	last := time.Duration(0)
	for _, sent := range load.calls {
		at, arrived := arrivals.at[sent.id]
		if !arrived {
			continue
		}
		last = max(last, at.Sub(leftAt))
		if at.Sub(leftAt) > drainBound+measureSlack && sent.answer.sentAt.Sub(silentAt) > contactBound+measureSlack {
			w.violation("request %s, sent at %.3f s, reaches %s %d ms after the ack of its leaving; the client gets %v", sent.id,
				w.rec.since(sent.answer.sentAt).Seconds(), leaver.id, at.Sub(leftAt).Milliseconds(), sent.answer)
		}
	}
	w.rec.say("the last request reaches %s %d ms after the ack of its leaving (bound %d ms)", leaver.id, last.Milliseconds(),
		drainBound.Milliseconds())
	return nil
}

// arrivalLog holds when requests reached a server, by id.
type arrivalLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (l *arrivalLog) add(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[id] = at
}
