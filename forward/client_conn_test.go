package forward

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/internal/socket"
)

var _ = Describe("clientConn", func() {
	// Guards against an answer whose end is lost because the caller has already sent a part of its next request.
	It("delivers an answer before it is closed with unread bytes", func() {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		caller, err := net.Dial("tcp4", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		accepted, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.(*net.TCPConn).SetWriteBuffer(4 << 20)).To(Succeed())
		_, err = caller.Write([]byte("GET "))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return socket.Quiet(accepted) }, 20*time.Second).Should(BeFalse())
		const answerBytes = 1 << 20
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			conn := &clientConn{Conn: accepted}
			_, _ = conn.Write(make([]byte, answerBytes))
			_ = conn.Close()
		}()
		received, err := io.Copy(io.Discard, &slowReader{caller})
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Equal(int64(answerBytes)))
		Expect(caller.Close()).To(Succeed())
		Eventually(closed, 20*time.Second).Should(BeClosed())
	})

	// Guards against work that goes on at an endpoint after the caller has left: the read deadline of the HTTP server ended
	// the watch 10 s after the request, while answers take up to 15 s.
	It("notices that the caller closes the connection after the read deadline of the request", func() {
		server, caller := net.Pipe()
		conn := &clientConn{Conn: server}
		Expect(conn.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		closed := make(chan struct{})
		conn.watch(func() { close(closed) })
		Consistently(closed, 50*time.Millisecond).ShouldNot(BeClosed())
		Expect(caller.Close()).To(Succeed())
		Eventually(closed, 20*time.Second).Should(BeClosed())
		conn.unwatch()
	})
})

// slowReader pauses after each read, so that the writer has closed the connection before the end is read.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	time.Sleep(5 * time.Millisecond)
	return n, err
}
