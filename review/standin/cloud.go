package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// cloud is a stand-in of the platform's API for duties. It accepts every call and records it.
type cloud struct {
	ln    net.Listener
	http  *http.Server
	mu    sync.Mutex
	calls []cloudCall
}

// cloudCall is a call that arrived.
type cloudCall struct {
	at                        time.Time
	path, holder, fence, body string
}

func startCloud(rec *recorder) (*cloud, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{ln: ln}
	c.http = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		call := cloudCall{
			at: time.Now(), path: r.URL.Path, holder: r.Header.Get("Duty-Holder"), fence: r.Header.Get("Fencing-Token"), body: string(body),
		}
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		rec.lineAt(call.at, "cloud gets %s holder=%s fence=%s %s", call.path, call.holder, call.fence, call.body)
	})}
	go func() { _ = c.http.Serve(ln) }()
	return c, nil
}

func (c *cloud) address() string { return c.ln.Addr().String() }

func (c *cloud) stop() { _ = c.http.Close() }
