package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a sound server of a service.
type server struct {
	rec      *record
	id       string
	service  string
	born     int64
	listener net.Listener
	http     *http.Server
	running  atomic.Int64
	// work is how long a plain request takes, events and interval what a stream has.
	work     time.Duration
	events   int
	interval time.Duration
	// losesEnd decides whether the end of a stream's answer is lost: the channel is reset after the last event.
	losesEnd func() bool

	mu sync.Mutex
	// arrivals holds the ids of the requests that reached the server.
	arrivals map[string]bool
	// sound holds the ids of the requests that the server has answered completely.
	sound map[string]bool
}

func newServer(rec *record, id, service string) (*server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		rec: rec, id: id, service: service, born: time.Now().UnixMilli(), listener: ln,
		arrivals: make(map[string]bool), sound: make(map[string]bool),
		work: 15 * time.Millisecond, events: 10, interval: 100 * time.Millisecond,
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 20 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// entry returns the server's entry in the store.
func (s *server) entry(state string) map[string]any {
	slots := 6
	if s.service == modelService {
		slots = 128
	}
	return map[string]any{
		"Service": s.service, "Address": s.address(), "Zone": zone, "Version": 1, "Slots": slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1, "born": s.born, "Stage": "both",
	}
}

// close ends the server: open channels break and new ones are refused.
func (s *server) close() { _ = s.http.Close() }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrivals[id] = true
	s.mu.Unlock()
	s.rec.add("%s reaches %s, which runs it", id, s.id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.entry("ready")["Slots"]))
	if r.Header.Get("Target-Instance") != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set("Response-Signature", "sig."+id)
	if s.service != modelService {
		time.Sleep(s.work)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last) // absent for a new run
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= s.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.interval):
		}
	}
	if last < s.events && s.losesEnd != nil && s.losesEnd() {
		s.rec.add("%s has run at %s, the end of the answer is lost", id, s.id)
		reset(w)
		return
	}
	s.rec.add("%s has run at %s", id, s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound[id] = true
}

// reset resets the channel of an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// answered reports whether the server has answered a request completely.
func (s *server) answered(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sound[id]
}

// arrived returns whether a request reached the server.
func (s *server) arrived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}
