package socket

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testWait ends only a test that hangs.
const testWait = time.Minute

// pair returns the two ends of a connection. The server's end buffers few bytes that it has not read.
func pair(t *testing.T) (client, server *net.TCPConn) {
	const fewBytes = 4 << 10
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, fewBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// write writes more bytes than the server's end buffers, and fewer than the client's.
func write(client *net.TCPConn) {
	const bytes = 64 << 10
	Expect(client.SetWriteBuffer(4 * bytes)).To(Succeed())
	_, err := client.Write(make([]byte, bytes))
	Expect(err).NotTo(HaveOccurred())
}

// readToEnd reads until the FIN.
func readToEnd(client *net.TCPConn) {
	_, err := io.ReadAll(client)
	Expect(err).NotTo(HaveOccurred())
}

// Guards against a reset that goes unnoticed because it comes behind a FIN, while bytes are buffered in the kernel.
func TestResetBehindFIN(t *testing.T) {
	RegisterTestingT(t)
	client, server := pair(t)
	write(client)
	Expect(server.CloseWrite()).To(Succeed())
	readToEnd(client)
	Expect(CheckAccepted(client, 0)).To(Succeed())
	go func() { _, _ = server.SetLinger(0), server.Close() }()
	Expect(CheckAccepted(client, testWait)).To(MatchError(syscall.ECONNRESET))
}

// Guards against a connection that counts as reset although its server reads all bytes after the FIN.
func TestReadAfterFIN(t *testing.T) {
	RegisterTestingT(t)
	client, server := pair(t)
	write(client)
	Expect(server.CloseWrite()).To(Succeed())
	readToEnd(client)
	go func() { _, _ = io.Copy(io.Discard, server) }()
	Expect(CheckAccepted(client, testWait)).To(Succeed())
}

// Guards against an answer that is taken for cut because the system does not tell the state of the socket.
func TestUnsupportedSocket(t *testing.T) {
	RegisterTestingT(t)
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "socket pair")
		conn, err := net.FileConn(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(file.Close()).To(Succeed())
		Expect(CheckAccepted(conn, testWait)).To(Succeed())
		Expect(conn.Close()).To(Succeed())
	}
}
