package faultsoak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is what a link does to the bytes on its connections.
type linkFault int32

// Faults of links. A connection that lost bytes stays silent for good.
const (
	linkSound linkFault = iota
	// linkSlow delays each piece by slowness.
	linkSlow
	// linkSilent drops all bytes, and accepts connections that stay silent.
	linkSilent
	// linkDeaf drops the bytes towards the target, linkMute those that come back.
	linkDeaf
	linkMute
	// linkRefuse resets all connections, new ones too.
	linkRefuse
	linkFaults
)

// slowness is the delay of a slow link.
const slowness = 40 * time.Millisecond

// link is a loopback proxy in front of one address.
type link struct {
	listener net.Listener
	target   string
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: ln, target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes the fault; linkRefuse also resets the open connections.
func (l *link) set(fault linkFault) {
	l.fault.Store(int32(fault))
	if fault == linkRefuse {
		l.reset()
	}
}

// reset resets all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		resetConn(conn)
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	_ = conn.Close()
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if linkFault(l.fault.Load()) == linkRefuse {
			resetConn(near)
			continue
		}
		go l.serve(near)
	}
}

func (l *link) serve(near net.Conn) {
	far, err := net.Dial("tcp4", l.target)
	if err != nil {
		resetConn(near)
		return
	}
	l.track(near, far)
	defer l.forget(near, far)
	var both sync.WaitGroup
	both.Go(func() { l.pass(far, near, linkDeaf) })
	both.Go(func() { l.pass(near, far, linkMute) })
	both.Wait()
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

func (l *link) forget(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(l.conns, conn)
	}
}

// pass copies bytes until an end. It drops them under the given fault and linkSilent, and from then on.
func (l *link) pass(to, from net.Conn, cut linkFault) {
	buffer := make([]byte, 16<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		fault := linkFault(l.fault.Load())
		silent = silent || n > 0 && (fault == linkSilent || fault == cut)
		if fault == linkSlow {
			time.Sleep(slowness)
		}
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = errors.Join(err, writeErr)
			}
		}
		if err != nil {
			resetConn(from)
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}
