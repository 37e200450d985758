package entry

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// pipeListener accepts one connection, which is a pipe: it has no buffer, so that each byte written was read by the server.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// withInternalServer runs test with a connection to an internal server whose answers have a body of 1 MiB, on a fake clock.
func withInternalServer(t *testing.T, test func(conn net.Conn)) {
	_ = (&fasthttp.Response{}).String() // starts a goroutine of fasthttp that never ends, outside the bubble
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		client, accepted := net.Pipe()
		listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		server := newInternalServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 1<<20)) })
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		listener.conns <- accepted
		defer func() {
			_ = client.Close()
			Expect(server.Shutdown()).To(Succeed())
			Expect(<-served).To(Succeed())
			time.Sleep(time.Minute) // until the goroutines of the server have ended
		}()
		test(client)
	})
}

// Guards against memory for the bodies of requests that need none.
func TestInternalServerReadsNoBodyWithoutEnd(t *testing.T) {
	for _, framing := range []string{"Transfer-Encoding: chunked\r\n\r\n1000000\r\n", "Content-Length: 4000000\r\n\r\n"} {
		withInternalServer(t, func(conn net.Conn) {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			_, err := io.WriteString(conn, "POST /ready HTTP/1.1\r\nHost: h\r\n"+framing)
			written, block := 0, strings.Repeat("x", 1<<10)
			for err == nil && written < 1<<20 {
				var n int
				n, err = io.WriteString(conn, block)
				written += n
			}
			Expect(err).To(HaveOccurred())
			Expect(written).To(BeNumerically("<=", 64<<10))
		})
	}
}

// Guards against connections, and the answers on them, that are kept for callers that have gone silent.
func TestInternalServerClosesSilentConnections(t *testing.T) {
	for _, sent := range []string{"", "GET /ready HTTP/1.1\r\nHo", "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"} {
		withInternalServer(t, func(conn net.Conn) {
			_, err := io.WriteString(conn, sent)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * time.Minute)
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, err = io.Copy(io.Discard, conn)
			Expect(err).NotTo(HaveOccurred(), "the connection must be closed: %q", sent)
		})
	}
}
