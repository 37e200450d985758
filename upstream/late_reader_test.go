package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

var _ = Describe("A long request body", func() {
	// Guards against the reset of a sound exchange: the kernel took an endpoint that had stopped reading for a dead one,
	// although it acknowledged every probe of its closed window.
	It("may be read late by an endpoint that answers meanwhile", func() {
		const events, interval = 15, 200 * time.Millisecond // together longer than unacknowledgedTimeout
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Read(make([]byte, 512))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range events {
				_, _ = io.WriteString(conn, "2\r\nab\r\n")
				time.Sleep(interval)
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
		}()
		header := &fasthttp.RequestHeader{}
		header.SetMethod(fasthttp.MethodPost)
		header.SetRequestURI("/work")
		header.SetHost("endpoint")
		body := make([]byte, 1<<20)
		header.SetContentLength(len(body))
		response, err := newPool().Do(context.Background(), Request{
			Target: Target{Address: listener.Addr().String(), ID: "endpoint-1"}, Header: header, Body: body,
			ResponseID: func(*fasthttp.ResponseHeader) string { return "" }, Deadline: time.Now().Add(testTimeout),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Abort)
		answer, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred(), fmt.Sprintf("after %d bytes", len(answer)))
		Expect(answer).To(HaveLen(2 * events))
	})
})
