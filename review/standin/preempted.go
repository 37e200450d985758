package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["preempted"] = preempted }

// Figures of the case. eventPause is the usual time between two events, longPause the pause of a preempted request.
const (
	streamEvents = 12
	eventPause   = 50 * time.Millisecond
	longPause    = 1200 * time.Millisecond
)

// streamEventsFrom answers with the events after Last-Event-Id. After the third event of a run, the run is preempted for pause.
func streamEventsFrom(b *backend, c *exchange, pause time.Duration) bool {
	first := 1
	if last, err := strconv.Atoi(c.request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	b.rec.line("%s runs %s from event %d", b.id, c.id(), first)
	_, _ = fmt.Fprintf(c.out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", c.id(), b.id)
	for id := first; id <= streamEvents; id++ {
		if id == first+3 {
			b.rec.line("%s preempts %s after event %d for %v", b.id, c.id(), id-1, pause)
			if !c.open(pause) {
				b.rec.line("%s: the channel of %s is closed after event %d", b.id, c.id(), id-1)
				return false
			}
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
		_, _ = fmt.Fprintf(c.out, "%x\r\n%s\r\n", len(event), event)
		if c.out.Flush() != nil || !c.open(eventPause) {
			b.rec.line("%s: the channel of %s is closed after event %d", b.id, c.id(), id)
			return false
		}
	}
	_, _ = fmt.Fprint(c.out, "0\r\n\r\n")
	b.rec.line("%s ends %s", b.id, c.id())
	return c.out.Flush() == nil
}

// open waits and reports whether the channel is still open then. A server drops a request when its channel closes.
func (c *exchange) open(wait time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	_, err := c.conn.Read(make([]byte, 1))
	_ = c.conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// preempted: servers whose memory has run out preempt requests in the middle of their streams, while the settings change.
func preempted(w *world) error {
	pause := eventPause
	if w.trouble {
		pause = longPause
	}
	handle := func(b *backend, c *exchange) bool { return streamEventsFrom(b, c, pause) }
	for i := range 3 {
		b, err := w.startBackend(fmt.Sprintf("i-bbbbbbb%d", i+1), "huvo11a", "za", handle)
		if err != nil {
			return err
		}
		w.store.put("servers", b.id, b.entry())
	}
	// The route of thread-summary: objective 400 ms, pauses 300 ms, time limit 5 s, two servers at the most, may be resumed.
	summary := route("r-2", "/pufi791/", "stream", "huvo11a", 2)
	summary["TimeoutMs"], summary["TargetLatencyMs"], summary["GapAimMs"], summary["CanResume"], summary["Sticky"] = 5000, 400, 300, true, true
	w.store.put("config", "main", configOf(1, []any{summary}, []any{map[string]any{
		"Name": "huvo11a", "HealthPath": "/health", "MaxConnections": 620, "Engine": map[string]any{"Slots": 128, "KvTokens": 1180804},
	}}))
	if err := w.startNodes("za", "zb"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	n := w.nodes[0]
	w.retrySlack = 60
	if err := w.writeSettings(n, true); err != nil {
		return err
	}
	hupAt := time.Now()
	w.signal(n, syscall.SIGHUP)
	var mu sync.Mutex
	var users sync.WaitGroup
	for i := range 6 {
		users.Go(func() {
			time.Sleep(time.Duration(100*i) * time.Millisecond)
			c := &caller{address: n.address(n.front)}
			defer c.close()
			r := call{
				id: newID(), method: "POST", host: testHost, path: "/pufi791/2f", key: testKey, timeout: 5 * time.Second,
				headers: map[string]string{
					"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e4402b7%d:250", i),
				},
				body: []byte(strings.Repeat("p", 9200)),
			}
			w.rec.line("request %s is sent to %s", r.id, n.name)
			a := c.do(r)
			w.rec.line("request %s is answered after %d ms: %v", r.id, a.endedAt.Sub(a.sentAt).Milliseconds(), a)
			mu.Lock()
			defer mu.Unlock()
			if a.sentAt.Before(hupAt.Add(2*time.Second)) && !a.complete && a.endedAt.Sub(a.sentAt) < r.timeout {
				w.violation("request %s, sent %d ms after SIGHUP and passed on to a server, ends after %d ms without a complete answer: %v",
					r.id, a.sentAt.Sub(hupAt).Milliseconds(), a.endedAt.Sub(a.sentAt).Milliseconds(), a)
			}
		})
	}
	users.Wait()
	return nil
}
