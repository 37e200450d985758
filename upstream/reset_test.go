package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

var _ = Describe("A body that only the end of its connection ends", func() {
	// exchange runs a request with a long body. The endpoint answers before it has read the request, sends half of the body,
	// waits for proceed and closes the connection.
	exchange := func(closeConn func(*net.TCPConn), proceed <-chan struct{}) *Response {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			<-proceed
			closeConn(conn.(*net.TCPConn))
		}()
		header := &fasthttp.RequestHeader{}
		header.SetMethod(fasthttp.MethodPost)
		header.SetRequestURI("/work")
		header.SetHost("endpoint")
		body := []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers hold
		header.SetContentLength(len(body))
		response, err := newPool().Do(context.Background(), Request{
			Target: Target{Address: listener.Addr().String(), ID: "endpoint-1"}, Header: header, Body: body,
			ResponseID: func(*fasthttp.ResponseHeader) string { return "" },
			Deadline:   time.Now().Add(testTimeout), IdleLimit: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Abort)
		return response
	}

	// Guards against a body that was cut by a reset and counts as complete: the kernel reports a reset once, to the write of
	// the request if that is in progress, and ends the reads after it like a FIN.
	It("is truncated if the connection was reset while the request was being written", func() {
		proceed := make(chan struct{})
		response := exchange(func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, proceed)
		close(proceed)
		Eventually(response.writeDone, testTimeout).Should(HaveLen(1))
		body, err := io.ReadAll(response.Body)
		Expect(string(body)).To(Equal("half"))
		Expect(err).To(MatchError(ErrTruncated))
	})

	// Guards against a body that was cut and counts as complete: a server that reads an upload while it closes the connection sends a
	// FIN, and a reset for the bytes that arrive later. The reads end by the FIN and the write gets a broken pipe.
	It("is truncated if the connection was reset behind a FIN while the request was being written", func() {
		proceed := make(chan struct{})
		response := exchange(func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, proceed)
		close(proceed)
		Eventually(response.writeDone, testTimeout).Should(HaveLen(1))
		body, err := io.ReadAll(response.Body)
		Expect(string(body)).To(Equal("half"))
		Expect(err).To(MatchError(ErrTruncated))
	})

	// Guards against a complete body that counts as truncated because its endpoint does not read the rest of the request.
	It("is complete if the endpoint ends its answer by a FIN and does not read the request", func() {
		proceed := make(chan struct{})
		response := exchange(func(conn *net.TCPConn) { _ = conn.CloseWrite() }, proceed)
		close(proceed)
		body, err := io.ReadAll(response.Body)
		Expect(string(body)).To(Equal("half"))
		Expect(err).NotTo(HaveOccurred())
	})
})

// Guards against a body that was cut and counts as complete, because the reset behind the FIN arrives after the end of the reads.
func TestResetShortlyAfterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		local, _ := net.Pipe()
		r := &Response{conn: newConn(local), writeDone: make(chan error, 1)}
		go func() {
			time.Sleep(writeGrace / 2)
			r.writeDone <- syscall.EPIPE
		}()
		Expect(r.wasReset()).To(BeTrue())
	})
}
