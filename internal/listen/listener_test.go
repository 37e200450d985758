package listen

import (
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// scriptedListener returns errors one after the other and then net.ErrClosed.
type scriptedListener struct {
	net.Listener
	errors []error
	calls  int
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.calls++
	if l.calls > len(l.errors) {
		return nil, net.ErrClosed
	}
	return nil, l.errors[l.calls-1]
}

// Guards against a process that exits because one connection could not be accepted.
func TestAcceptOutlastsErrors(t *testing.T) {
	g := NewWithT(t)
	scripted := &scriptedListener{}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOMEM, syscall.ENOBUFS} {
		scripted.errors = append(scripted.errors, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)})
	}
	_, err := New(slog.New(slog.DiscardHandler), scripted, "test").Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(scripted.calls).To(Equal(len(scripted.errors) + 1))
}
