// Package socket inspects sockets without reading from them.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Quiet reports whether a connection is open and has no unread bytes. A connection that gives no access to its socket
// counts as quiet.
func Quiet(conn net.Conn) bool {
	access, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	// EAGAIN means that the connection is open and has no data. If the call succeeds, there are unread bytes or the
	// other side has closed the connection.
	_, err := peek(access)
	return errors.Is(err, syscall.EAGAIN)
}

// Ended reports whether the other side has closed a connection, or its sending direction, and no unread bytes are left. It is
// false for a connection that gives no access to its socket.
func Ended(conn net.Conn) bool {
	access, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(access)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek returns the number of unread bytes, at most 1.
func peek(access syscall.Conn) (n int, err error) {
	raw, err := access.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(controlErr, err)
}
