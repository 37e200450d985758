package faultsoak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is the fault that a link injects into its connections.
type linkFault int32

// Faults of links. A connection direction that has dropped bytes drops all later bytes too, since the stream has a gap.
const (
	linkHealthy linkFault = iota
	// linkSlow delays each read by slowLinkDelay.
	linkSlow
	// linkDropAll accepts connections and drops the bytes in both directions.
	linkDropAll
	// linkDropToTarget drops the bytes sent to the target, linkDropFromTarget those that the target sends.
	linkDropToTarget
	linkDropFromTarget
	// linkReset resets all open connections and each new one.
	linkReset
	linkFaultCount
)

// slowLinkDelay is the delay that linkSlow adds to each read.
const slowLinkDelay = 40 * time.Millisecond

// link is a loopback TCP proxy that forwards connections to target and injects faults into them.
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

// setFault replaces the fault; linkReset also resets the open connections.
func (l *link) setFault(fault linkFault) {
	l.fault.Store(int32(fault))
	if fault == linkReset {
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
		_ = tcp.SetLinger(0) // fails only when the connection is already closed
	}
	_ = conn.Close()
}

func (l *link) accept() {
	for {
		callerConn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if linkFault(l.fault.Load()) == linkReset {
			resetConn(callerConn)
			continue
		}
		go l.serve(callerConn)
	}
}

func (l *link) serve(callerConn net.Conn) {
	targetConn, err := net.Dial("tcp4", l.target)
	if err != nil {
		resetConn(callerConn)
		return
	}
	l.track(callerConn, targetConn)
	defer l.closeAndUntrack(callerConn, targetConn)
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(targetConn, callerConn, linkDropToTarget) })
	directions.Go(func() { l.forward(callerConn, targetConn, linkDropFromTarget) })
	directions.Wait()
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

func (l *link) closeAndUntrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(l.conns, conn)
	}
}

// forward copies bytes from one connection to the other until either fails or ends. Once it has read bytes while
// the link's fault is dropFault or linkDropAll, it drops these and all later bytes.
func (l *link) forward(to, from net.Conn, dropFault linkFault) {
	buffer := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		fault := linkFault(l.fault.Load())
		dropping = dropping || n > 0 && (fault == linkDropAll || fault == dropFault)
		if fault == linkSlow {
			time.Sleep(slowLinkDelay)
		}
		if n > 0 && !dropping {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = errors.Join(err, writeErr)
			}
		}
		if err != nil {
			resetConn(from)
			if !dropping {
				_ = to.Close()
			}
			return
		}
	}
}
