package upstream

import (
	"bufio"
	"context"
	"errors"
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

	"knapweedhoist/internal/httpconn"
)

// testTimeout bounds the waits of a test. No result depends on its value.
const testTimeout = 20 * time.Second

// newPool returns a Pool without the default dial timeout, which dial_timeout_test.go checks: a busy machine may exceed it.
func newPool() *Pool { return NewPool(Config{DialTimeout: testTimeout}) }

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
		pool := newPool()
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
		pool := newPool()
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

// endlessWriter writes a text again and again until the connection is closed and counts the bytes.
func endlessWriter(conn net.Conn, text string, written *atomic.Int64) {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for {
		n, err := conn.Write(block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

var _ = Describe("Endpoint in trouble", func() {
	// endlessAnswer runs an exchange with an endpoint that sends prefix and then text without end.
	endlessAnswer := func(prefix, text string) (written int64, err error) {
		var count atomic.Int64
		listener, listenErr := net.Listen("tcp4", "127.0.0.1:0")
		Expect(listenErr).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, prefix)
			endlessWriter(conn, text, &count)
		}()
		header := &fasthttp.RequestHeader{}
		header.SetRequestURI("/work")
		header.SetHost("endpoint")
		response, err := newPool().Do(context.Background(), Request{
			Target: Target{Address: listener.Addr().String(), ID: "endpoint-1"}, Header: header, ID: "1",
			ResponseID: func(h *fasthttp.ResponseHeader) string { return string(h.Peek("Id")) },
			Deadline:   time.Now().Add(testTimeout), IdleLimit: 1,
		})
		if err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 16<<20))
			response.Close()
		}
		Eventually(closed, testTimeout).Should(BeClosed(), "the connection stays open")
		return count.Load(), err
	}

	// Guards against an exchange that reads until its deadline, or fills the memory, while the endpoint sends bytes that are
	// no answer.
	DescribeTable("is cut off when it sends bytes without end",
		func(oversized bool, prefix, text string) {
			written, err := endlessAnswer(prefix, text)
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, ErrOversized)).To(Equal(oversized))
			Expect(len(err.Error())).To(BeNumerically("<", 2*httpconn.MaxErrorText), "the log line holds the bytes")
			Expect(written).To(BeNumerically("<", 32<<20))
		},
		Entry("no head", true, "", "x"),
		Entry("empty lines", false, "", "\r\n"),
		Entry("lines of no head", false, "", "x\r\n"),
		Entry("bytes of no head", false, "", "\x00\n"),
		Entry("lines of a head", true, "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("one line of a head", true, "HTTP/1.1 200 OK\r\nA: ", "b"),
		Entry("informational answers", true, "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("answers to other requests", true, "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"),
		Entry("body of an answer to another request", true, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x"),
		Entry("size of a chunk", true, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("extension of a chunk", true, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
		Entry("trailer", true, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
	)

	// Guards against a header that is written while the response is read; the race detector sees it.
	It("may answer before it has read the request", func() {
		for range 100 {
			_, err := endlessAnswer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\n", "x")
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against an answer that never ends although its body is read to a bound, and against its connection in use
	// again.
	It("is cut off after the reader's bound of a body without end", func() {
		written, err := endlessAnswer("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(written).To(BeNumerically("<", 64<<20))
	})
})

// blockingReader returns io.EOF after a delay longer than writeGrace.
type blockingReader struct{}

// Read implements io.Reader.
func (blockingReader) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 0, io.EOF
}
