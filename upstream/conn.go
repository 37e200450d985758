package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// bufferBytes is the size of a connection's read and write buffers; a header of an endpoint has some hundred bytes.
const bufferBytes = 4096

// conn is one connection to an endpoint. It has one owner at a time: an exchange or the pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// usable is until when the idle connection may be used again.
	usable time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferBytes), writer: bufio.NewWriterSize(raw, bufferBytes)}
}

// clean reports whether the idle connection is open and has no unread bytes.
func (c *conn) clean(now time.Time) bool {
	if c.reader.Buffered() > 0 || !now.Before(c.usable) {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && peekErr == syscall.EAGAIN
}
