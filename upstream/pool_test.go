package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// testTimeout bounds the waits of a test. No result depends on its value.
const testTimeout = 20 * time.Second

var _ = Describe("IdleLimit", func() {
	// Guards against connection resets when all instances together hold more connections than an endpoint accepts.
	DescribeTable("limits all instances together to half of the connections that an endpoint accepts, with at least one each",
		func(maxConns, instances, limit int) {
			Expect(IdleLimit(maxConns, instances)).To(Equal(limit))
		},
		Entry("few instances", 620, 7, maxIdleConns),
		Entry("plain service with a low connection limit", 100, 8, 6),
		Entry("many instances", 530, 61, 4),
		Entry("more instances than connections", 100, 300, 1),
		Entry("no connection limit", 0, 300, maxIdleConns),
	)
})

var _ = Describe("Pool", func() {
	const idleLimit = 2
	var listener net.Listener
	var openConns atomic.Int32
	serve := func(handle func(net.Conn)) Target {
		var err error
		listener, err = net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				openConns.Add(1)
				go func() {
					defer openConns.Add(-1)
					defer func() { _ = conn.Close() }()
					handle(conn)
				}()
			}
		}()
		return Target{Address: listener.Addr().String(), ID: "endpoint-1"}
	}
	request := func(target Target, body string) Request {
		header := &fasthttp.RequestHeader{}
		header.SetMethod(http.MethodPost)
		header.SetRequestURI("/work")
		header.SetHost("endpoint")
		header.SetContentLength(len(body))
		return Request{
			Target: target, Header: header, Body: []byte(body), Deadline: time.Now().Add(testTimeout), IdleLimit: idleLimit,
			ResponseID: func(*fasthttp.ResponseHeader) string { return "" },
		}
	}

	// Guards against idle connections beyond the limit after concurrent requests.
	It("closes connections beyond the idle limit", func() {
		var started sync.WaitGroup
		started.Add(5)
		target := serve(func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			for {
				received, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, received.Body)
				started.Done()
				started.Wait()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		pool := NewPool(Config{})
		var all sync.WaitGroup
		for range 5 {
			all.Go(func() {
				defer GinkgoRecover()
				response, err := pool.Do(context.Background(), request(target, ""))
				Expect(err).NotTo(HaveOccurred())
				Expect(io.ReadAll(response.Body)).To(HaveLen(2))
				response.Close()
			})
		}
		all.Wait()
		Expect(pool.idle[target]).To(HaveLen(idleLimit))
		Eventually(openConns.Load, testTimeout).Should(Equal(int32(idleLimit)))
	})

	// Guards against sending a request into the middle of the previous request's body: an endpoint can respond before it
	// has read a long body and then continue to read it.
	It("does not reuse a connection on which a request body is still being written", func() {
		const bodyBytes = 32 << 20 // more than the socket buffers hold
		var connections atomic.Int32
		target := serve(func(conn net.Conn) {
			number := connections.Add(1)
			reader := bufio.NewReader(conn)
			received, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
			if number > 1 {
				return
			}
			_, _ = received.Body.Read(make([]byte, 1)) // reads no more and keeps the connection open
			_, _ = io.Copy(io.Discard, blockingReader{})
		})
		pool := NewPool(Config{})
		for _, expected := range []string{"1", "2"} {
			requestBody := ""
			if expected == "1" {
				requestBody = strings.Repeat("x", bodyBytes)
			}
			response, err := pool.Do(context.Background(), request(target, requestBody))
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(response.Body)).To(BeEquivalentTo(expected))
			response.Close()
		}
	})
})

// blockingReader returns io.EOF after a delay longer than writeGrace.
type blockingReader struct{}

// Read implements io.Reader.
func (blockingReader) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 0, io.EOF
}
