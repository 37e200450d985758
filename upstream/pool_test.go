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

// patience bounds what a test waits for; no verdict depends on how long it takes.
const patience = 20 * time.Second

var _ = Describe("IdleLimit", func() {
	// Guards against resets where all instances together hold more connections than an endpoint accepts.
	DescribeTable("keeps all instances together within half of what an endpoint accepts",
		func(accepted, instances, limit int) {
			Expect(IdleLimit(accepted, instances)).To(Equal(limit))
		},
		Entry("few instances", 620, 7, maxIdle),
		Entry("plain service of few connections", 100, 8, 6),
		Entry("many instances", 530, 61, 4),
		Entry("more instances than connections", 100, 300, 1),
		Entry("no bound", 0, 300, maxIdle),
	)
})

var _ = Describe("Pool", func() {
	const limit = 2
	var listener net.Listener
	var open atomic.Int32
	serve := func(answer func(net.Conn)) Peer {
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
				open.Add(1)
				go func() {
					defer open.Add(-1)
					defer func() { _ = conn.Close() }()
					answer(conn)
				}()
			}
		}()
		return Peer{Address: listener.Addr().String(), ID: "endpoint-1"}
	}
	request := func(peer Peer, body string) Request {
		header := &fasthttp.RequestHeader{}
		header.SetMethod(http.MethodPost)
		header.SetRequestURI("/work")
		header.SetHost("endpoint")
		header.SetContentLength(len(body))
		return Request{
			Peer: peer, Header: header, Body: []byte(body), Deadline: time.Now().Add(patience), IdleLimit: limit,
			AnswerID: func(*fasthttp.ResponseHeader) string { return "" },
		}
	}

	It("closes the connections beyond the limit", func() {
		var started sync.WaitGroup
		started.Add(5)
		peer := serve(func(conn net.Conn) {
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
				answer, err := pool.Do(context.Background(), request(peer, ""))
				Expect(err).NotTo(HaveOccurred())
				Expect(io.ReadAll(answer.Body)).To(HaveLen(2))
				answer.Close()
			})
		}
		all.Wait()
		Expect(pool.idle[peer]).To(HaveLen(limit))
		Eventually(open.Load, patience).Should(Equal(int32(limit)))
	})

	// Guards against UNASKED: an endpoint answers before it has read a long body, reads on, and gets the next request
	// in the middle of that body.
	It("does not use a connection again on which a body is still due", func() {
		const body = 32 << 20 // more than socket buffers hold
		var connections atomic.Int32
		peer := serve(func(conn net.Conn) {
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
			_, _ = received.Body.Read(make([]byte, 1)) // and no more, with the connection open
			_, _ = io.Copy(io.Discard, blocked{})
		})
		pool := NewPool(Config{})
		for _, wanted := range []string{"1", "2"} {
			text := ""
			if wanted == "1" {
				text = strings.Repeat("x", body)
			}
			answer, err := pool.Do(context.Background(), request(peer, text))
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(answer.Body)).To(BeEquivalentTo(wanted))
			answer.Close()
		}
	})
})

// blocked is a reader that ends with the test.
type blocked struct{}

// Read implements io.Reader.
func (blocked) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 0, io.EOF
}
