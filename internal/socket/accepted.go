package socket

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stateClosed is the state of a socket that was reset or closed in both directions, TCP_CLOSE in tcp_states.h of Linux.
	stateClosed = 7
	// acceptedPoll is the time between two looks at the bytes that are not acknowledged yet.
	acceptedPoll = time.Millisecond
)

// CheckAccepted returns syscall.ECONNRESET if a TCP connection at the end of its reads was reset. The reads end without an error
// then if a FIN came before the reset, or if a write got the error. A reset may still be on its way while bytes that were written
// are not acknowledged: CheckAccepted waits up to wait for that. It returns nil where the socket or the system does not tell, and
// another error if the connection is closed.
func CheckAccepted(conn net.Conn, wait time.Duration) error {
	access, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	for end := time.Now().Add(wait); ; time.Sleep(acceptedPoll) {
		unacknowledged, err := sendQueue(access)
		switch {
		case isUnsupported(err):
			return nil
		case err != nil || unacknowledged == 0 || !time.Now().Before(end):
			return err
		}
	}
}

// sendQueue returns the number of bytes that were written and not acknowledged, or syscall.ECONNRESET after a reset.
func sendQueue(access syscall.Conn) (unacknowledged int, err error) {
	raw, err := access.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		if info.State == stateClosed {
			err = syscall.ECONNRESET
			return
		}
		unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return unacknowledged, errors.Join(controlErr, err)
}

// isUnsupported reports whether the system refused to tell the state of a socket.
func isUnsupported(err error) bool {
	return slices.ContainsFunc([]error{syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EINVAL, syscall.ENOTTY, syscall.ENOSYS, syscall.EPERM},
		func(refused error) bool { return errors.Is(err, refused) })
}
