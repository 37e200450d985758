package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["endless"] = endless }

// endless: servers in trouble send bodies without end.
func endless(w *world) error {
	mode := os.Getenv("MODE")
	faulty, _ := strconv.Atoi(os.Getenv("FAULTY"))
	if faulty == 0 {
		faulty = 1
	}
	users, _ := strconv.Atoi(os.Getenv("USERS"))
	if users == 0 {
		users = 24
	}
	chunk := []byte(strings.Repeat("x", 64<<10))
	var active atomic.Bool
	handle := func(b *backend, c *exchange) bool {
		if !active.Load() {
			return b.answer200(c)
		}
		head := "HTTP/1.1 200 OK\r\n"
		if mode == "500" {
			head = "HTTP/1.1 500 Internal Server Error\r\n"
		}
		fmt.Fprintf(c.out, head+"Request-Id: %s\r\nResponse-Signature: %s\r\n", c.id(), b.id)
		if mode == "chunked" {
			fmt.Fprintf(c.out, "Transfer-Encoding: chunked\r\n")
		}
		fmt.Fprintf(c.out, "\r\n")
		for {
			if mode == "chunked" {
				fmt.Fprintf(c.out, "%x\r\n", len(chunk))
			}
			if _, err := c.out.Write(chunk); err != nil {
				return false
			}
			if mode == "chunked" {
				fmt.Fprintf(c.out, "\r\n")
			}
		}
	}
	for i := range 4 {
		h := handle
		if i >= faulty {
			h = nil
		}
		b, err := w.startBackend(fmt.Sprintf("i-aaaaaaa%d", i), "wuno96b", "za", h)
		if err != nil {
			return err
		}
		w.store.put("servers", b.id, b.entry("ready"))
	}
	kind := os.Getenv("KIND")
	if kind == "" {
		kind = "unsafe"
	}
	r1 := route("r-1", "/puxa403/", kind, "wuno96b", 2)
	r1["CanResume"] = os.Getenv("RESUME") != ""
	r1["GapAimMs"] = 300
	r1["TimeoutMs"] = 8000
	if kind != "stream" {
		r1["TimeoutMs"] = 800
	}
	w.store.put("config", "main", configOf(1, []any{r1},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConnections": 100}}))
	if err := w.startNodes("za", "zb"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	n := w.nodes[0]
	for range users {
		callers.Go(func() {
			c := &caller{address: n.address(n.front)}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				r := call{id: newID(), method: "POST", host: "ficu95.example", path: "/puxa403/lo", key: testKey, timeout: 1500 * time.Millisecond}
				a := c.do(r)
				mu.Lock()
				counts[fmt.Sprint(a.status, a.complete)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	active.Store(true)
	peak := 0
	for i := 0; i < 100; i++ {
		time.Sleep(100 * time.Millisecond)
		m := n.memoryMBNow()
		if m > peak {
			peak = m
		}
		if i%10 == 0 {
			w.rec.line("rss %d", m)
		}
	}
	close(stop)
	callers.Wait()
	fmt.Println("peak", peak, "counts", counts, "ended", n.ended())
	return nil
}
