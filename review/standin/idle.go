package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["idle"] = idle }

// Figures of the case. The deployment has idleMachines machines, of which idleLost are lost for good, and usersPerSecond new
// users, each with a request a second or less, over all machines that are left.
const (
	idleMachines   = 7
	idleLost       = 5
	usersPerSecond = 116
	idleRunTime    = 85 * time.Second
	// idleAnswerTime is the time that a server needs for an answer.
	idleAnswerTime = 100 * time.Millisecond
)

// idle: most machines are lost. Users come at the usual rate; each opens a channel, sends a request, gets its answer and
// leaves the channel idle for the system to close after IdleTimeoutMs.
func idle(w *world) error {
	if err := raiseOwnLimit(); err != nil {
		return err
	}
	for i := range 4 {
		b, err := w.startBackend(fmt.Sprintf("i-aaaaaaa%d", i+1), "wuno96b", fmt.Sprintf("z%d", i%4), func(b *backend, c *exchange) bool {
			time.Sleep(idleAnswerTime)
			return b.write200(c, "ok "+c.id()+"\n")
		})
		if err != nil {
			return err
		}
		w.store.put("servers", b.id, b.entry())
	}
	w.store.put("config", "main", configOf(1, []any{route("r-1", "/puxa403/", "unsafe", "wuno96b", 1)},
		[]any{map[string]any{"Name": "wuno96b", "HealthPath": "/health", "MaxConnections": 620}}))
	if err := w.startNodes("z0", "z0", "z1", "z1", "z2", "z2", "z3"); err != nil {
		return err
	}
	all := w.nodes
	left := all
	if w.trouble {
		for _, n := range all[idleMachines-idleLost:] {
			n.kill()
		}
		left = all[:idleMachines-idleLost]
		w.rec.line("%d of %d machines are lost for good", idleLost, idleMachines)
	}
	w.nodes = left
	load := w.startLoad("/puxa403/kept")
	users := &idleUsers{}
	end := time.Now().Add(idleRunTime)
	ticker := time.NewTicker(time.Second / usersPerSecond)
	defer ticker.Stop()
	for n := 0; time.Now().Before(end) && !left[0].ended() && !left[len(left)-1].ended(); n++ {
		<-ticker.C
		go users.visit(left[n%len(left)])
		if n%(10*usersPerSecond) == 0 {
			w.rec.line("%d users have come, %d of their channels are open, %d users got no answer, %s holds %d MB", n, users.open.Load(),
				users.failed.Load(), left[0].name, left[0].memoryMBNow())
		}
	}
	time.Sleep(time.Second)
	load.stop()
	users.closeAll()
	w.nodes = all
	cut := 0
	for _, sent := range load.calls {
		if sent.answer.status == 0 && sent.answer.kept && sent.answer.sentAt.Before(sent.answer.endedAt.Add(-5*time.Millisecond)) {
			w.rec.line("request %s on a kept channel: the channel ends without an answer after %d ms: %v", sent.id,
				sent.answer.endedAt.Sub(sent.answer.sentAt).Milliseconds(), sent.answer.err)
			cut++
		}
	}
	for _, n := range left {
		if n.ended() {
			w.rec.say("%s has ended by itself at %.3f s", n.name, w.rec.since(n.exitedAt).Seconds())
		}
	}
	if cut > 3 {
		w.violation("%d requests that sound servers ran got no answer: their kept channels were closed", cut)
	}
	w.rec.say("%d users came, %d got no answer; %d requests on kept channels were cut", users.came.Load(), users.failed.Load(), cut)
	return nil
}

// raiseOwnLimit raises the number of descriptors of this process to the most that it may have, for the users' channels.
func raiseOwnLimit() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	limit.Cur = limit.Max
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
}

// idleUsers are users that come once and leave their channel idle.
type idleUsers struct {
	came, failed, open atomic.Int64
	mu                 sync.Mutex
	conns              []net.Conn
}

// visit opens a channel, sends a request, reads the answer and waits until the channel is closed.
func (u *idleUsers) visit(n *node) {
	u.came.Add(1)
	c := &caller{address: n.address(n.front)}
	a := c.do(call{id: newID(), method: "POST", host: testHost, path: "/puxa403/2f", key: testKey, timeout: 1500 * time.Millisecond, body: []byte("{}")})
	if a.status != 200 {
		u.failed.Add(1)
	}
	if c.conn == nil {
		return
	}
	u.mu.Lock()
	u.conns = append(u.conns, c.conn)
	u.mu.Unlock()
	u.open.Add(1)
	_ = c.conn.SetDeadline(time.Time{})
	_, _ = c.in.ReadByte() // returns when the system closes the channel
	u.open.Add(-1)
	c.close()
}

func (u *idleUsers) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
}
