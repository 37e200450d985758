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
	// largestBody is MaxBodyBytes of the configuration, usualBody the mean size of a request of circular-draft.
	largestBody = 4194304
	usualBody   = 17000
	// linkBytes is what the machine's link carries in a second (LinkMbps 1,000).
	linkBytes = 125_000_000
	// largeClients is the number of clients that send such bodies.
	largeClients = 40
)

// largeBodies: clients send bodies as large as the configuration allows, over the machine's link. The platform kills a
// process whose memory exceeds MemoryMb.
func largeBodies(d *deployment) error {
	if err := errors.Join(d.startServers(plainService, 4), d.startServers(modelService, 9)); err != nil {
		return err
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	n := d.nodes[0]
	size := usualBody
	if d.trouble {
		size = largestBody
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost atomic.Int64
	for k := range streamClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			keptStreams(d, n, fmt.Sprintf("%08x", k+1), stop, &lost)
		}()
	}
	time.Sleep(time.Second)
	for k := range largeClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			uploads(d, n, fmt.Sprintf("%08x", 1000+k), size, stop)
		}()
	}
	peak, killed := 0, false
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !killed; time.Sleep(2 * time.Millisecond) {
		memory := n.memory()
		peak = max(peak, memory)
		if memory > memoryMB {
			killed = true
			d.rec.add("%s uses %d MB: the platform kills it", n.name, memory)
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	close(stop)
	clients.Wait()
	d.rec.add("%s used %d MB at most", n.name, peak)
	if count := lost.Load(); count > allowedLost {
		return broken("%d requests on kept channels were passed on to sound servers by %s and got no answer; memory %d MB", count, n.name, peak)
	}
	return nil
}

// uploads sends requests with a body of size bytes, each on a new channel, until stop. All clients together use the link.
func uploads(d *deployment, n *node, session string, size int, stop chan struct{}) {
	block := make([]byte, 64<<10)
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := dial(n.front)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		id := newID()
		_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
		_, err = fmt.Fprintf(c.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nRequest-Id: %s\r\n"+
			"Deadline-Remaining: 8000\r\n%sContent-Length: %d\r\n\r\n", draftPath, host, apiKey, id, promptHeader(session), size)
		for left := size; left > 0 && err == nil; {
			part := min(left, len(block))
			_, err = c.conn.Write(block[:part])
			left -= part
			time.Sleep(time.Duration(float64(part) * largeClients / linkBytes * float64(time.Second)))
		}
		status := 0
		if err == nil {
			if response, err := http.ReadResponse(c.reader, nil); err == nil {
				status = response.StatusCode
				buffer := make([]byte, 1024)
				for err == nil {
					_, err = response.Body.Read(buffer)
				}
			}
		}
		d.rec.add("%s sent to %s with %d bytes: status %d", id, n.name, size, status)
		c.close()
	}
}
