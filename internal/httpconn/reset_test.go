package httpconn

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a part of a body that counts as complete: of a connection that is reset behind a FIN, reads report only the FIN,
// and a request that the kernel has buffered was written without an error.
func TestResetBehindFIN(t *testing.T) {
	const (
		answer = "HTTP/1.1 200 OK\r\n\r\nhalf"
		// The server's end buffers fewer bytes than the request has, the client's end more.
		serverBuffer, requestBytes, clientBuffer = 4 << 10, 64 << 10, 256 << 10
	)
	RegisterTestingT(t)
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	Expect(client.(*net.TCPConn).SetWriteBuffer(clientBuffer)).To(Succeed())
	conn := New(client)
	conn.acceptedWait = time.Minute
	_, err = conn.Write(make([]byte, requestBytes))
	Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(server, answer)
	Expect(err).NotTo(HaveOccurred())
	Expect(server.(*net.TCPConn).CloseWrite()).To(Succeed())
	got := make([]byte, len(answer))
	_, err = io.ReadFull(conn, got)
	Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = server.(*net.TCPConn).SetLinger(0), server.Close() }()
	_, err = conn.Read(got)
	Expect(err).To(MatchError(syscall.ECONNRESET))
}
