package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/httpcall"
)

// server runs script for each connection. Connections are pipes, so that they follow the fake clock of the synctest
// bubble.
type server struct {
	script   func(conn net.Conn, connNumber int32)
	accepted atomic.Int32
}

func (s *server) dial(context.Context, string) (net.Conn, error) {
	client, conn := net.Pipe()
	connNumber := s.accepted.Add(1)
	go func() {
		defer conn.Close()
		s.script(conn, connNumber)
	}()
	return client, nil
}

func (s *server) client() *httpcall.Client {
	return httpcall.New(httpcall.Config{Address: "127.0.0.1:1", Dial: s.dial})
}

// readRequest reads one request that has no body.
func readRequest(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

func writeResponse(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// closeAndWait closes the client and sleeps until the goroutines of its idle connections and of their cleaner have
// ended, since the bubble fails if one is left.
func closeAndWait(client *httpcall.Client) {
	client.Close()
	time.Sleep(10 * time.Second)
}

// Guards against a write that is retried after its connection broke, and a GET
// that is not.
func TestOnlyReadsAreRepeated(t *testing.T) {
	for method, attempts := range map[string]int32{"GET": 2, "PUT": 1, "POST": 1, "DELETE": 1} {
		for name, reply := range map[string]string{"no reply": "", "half a body": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"} {
			t.Run(method+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					s := &server{script: func(conn net.Conn, _ int32) {
						_ = readRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, reply)
					}}
					client := s.client()
					_, err := client.Do(t.Context(), httpcall.Request{Method: method, Path: "/x"})
					g.Expect(err).To(HaveOccurred())
					g.Expect(errors.Is(err, httpcall.ErrNotSent)).To(BeFalse())
					g.Expect(s.accepted.Load()).To(Equal(attempts))
					closeAndWait(client)
				})
			})
		}
	}
}

// Guards against a connection that is reused after a call on it timed out.
func TestTimeoutLeavesPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &server{script: func(conn net.Conn, connNumber int32) {
			reader := bufio.NewReader(conn)
			for readRequest(reader) == nil {
				if connNumber > 1 {
					writeResponse(conn)
				}
			}
		}}
		client := s.client()
		started := time.Now()
		_, err := client.Do(t.Context(), httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(started)).To(Equal(httpcall.DefaultTimeout))
		response, err := client.Do(t.Context(), httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("ok"))
		g.Expect(s.accepted.Load()).To(Equal(int32(2)))
		closeAndWait(client)
	})
}

// Guards against a call that outlives its context or idle timeout, and a call
// that is sent after its context has ended.
func TestContextEndsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &server{script: func(conn net.Conn, _ int32) { _, _ = io.Copy(io.Discard, conn) }}
		client := s.client()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		started := time.Now()
		_, err := client.Do(ctx, httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(MatchError(context.Canceled))
		g.Expect(time.Since(started)).To(Equal(time.Second))
		_, err = client.Do(ctx, httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(MatchError(httpcall.ErrNotSent))
		_, err = client.Fetch(t.Context(), httpcall.Request{Method: "GET", Path: "/x"}, time.Minute)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(started)).To(Equal(time.Second + time.Minute))
		closeAndWait(client)
	})
}

// Guards against a call that returns a response body above MaxResponseBytes instead of an error.
func TestReplyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &server{script: func(conn net.Conn, _ int32) {
			if readRequest(bufio.NewReader(conn)) == nil {
				writeResponse(conn)
			}
		}}
		client := httpcall.New(httpcall.Config{Address: "127.0.0.1:1", Dial: s.dial, MaxResponseBytes: 1})
		_, err := client.Do(t.Context(), httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(HaveOccurred())
		_, err = client.Fetch(t.Context(), httpcall.Request{Method: "GET", Path: "/x"}, time.Minute)
		g.Expect(err).To(MatchError(httpcall.ErrTooLarge))
		closeAndWait(client)
	})
}

// Guards against an order that the kernel delivers after its call timed out: in fleetbench hlh-snowdesk trouble-1 one with
// an old fencing token arrived 1.3 s after a partition had healed.
func TestTimeoutResetsConnection(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	client := httpcall.New(httpcall.Config{Address: ln.Addr().String(), Timeout: 50 * time.Millisecond})
	_, err = client.Do(t.Context(), httpcall.Request{Method: "POST", Path: "/x"})
	g.Expect(err).To(HaveOccurred())
	g.Eventually(ended, 20*time.Second).Should(Receive(MatchError(syscall.ECONNRESET)))
}

// Guards against a refused connection whose error does not wrap ErrNotSent.
func TestRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	refused := errors.New("refused")
	client := httpcall.New(httpcall.Config{
		Address: "127.0.0.1:1", Dial: func(context.Context, string) (net.Conn, error) { return nil, refused },
	})
	_, err := client.Do(t.Context(), httpcall.Request{Method: "POST", Path: "/x"})
	g.Expect(err).To(MatchError(httpcall.ErrNotSent))
	g.Expect(err).To(MatchError(refused))
	_, err = client.Open(t.Context(), httpcall.Request{Method: "POST", Path: "/x"})
	g.Expect(err).To(MatchError(httpcall.ErrNotSent))
}

// Guards against a process that ends for lack of memory because a server sends replies without end, or announces large ones,
// to many calls at the same time.
func TestRepliesAreBoundedTogether(t *testing.T) {
	const maxBytes, calls = 4 << 20, 16
	for name, reply := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &server{script: func(conn net.Conn, _ int32) {
					if readRequest(bufio.NewReader(conn)) == nil {
						_, _ = io.WriteString(conn, reply)
						_, _ = conn.Write(make([]byte, maxBytes*5/8)) // and no end
						_, _ = io.Copy(io.Discard, conn)
					}
				}}
				client := httpcall.New(httpcall.Config{Address: "127.0.0.1:1", Dial: s.dial, MaxResponseBytes: maxBytes})
				before := heapBytes()
				for n := range calls {
					go func() {
						request := httpcall.Request{Method: "POST", Path: "/x"}
						if n%2 == 0 {
							_, _ = client.Do(t.Context(), request)
						} else {
							_, _ = client.Fetch(t.Context(), request, time.Second)
						}
					}()
				}
				synctest.Wait()
				growth := heapBytes() - before
				t.Logf("heap growth %.1f MiB", float64(growth)/(1<<20))
				g.Expect(growth).To(BeNumerically("<", 4*maxBytes))
				closeAndWait(client)
				response, err := client.Do(t.Context(), httpcall.Request{Method: "POST", Path: "/x"})
				g.Expect(err).To(HaveOccurred())
				g.Expect(response.Body).To(BeEmpty())
				closeAndWait(client)
			})
		})
	}
}

// heapBytes returns the memory of live objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a watch of the store that never ends, and a configuration that stays old, because a reply arrives byte by
// byte.
func TestDripEnds(t *testing.T) {
	for name, head := range map[string]string{"head": "", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &server{script: func(conn net.Conn, _ int32) {
					err := readRequest(bufio.NewReader(conn))
					if err == nil {
						_, err = io.WriteString(conn, head)
					}
					for err == nil {
						time.Sleep(time.Second / 2)
						_, err = io.WriteString(conn, "x")
					}
				}}
				client := s.client()
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				started := time.Now()
				_, err := client.Fetch(ctx, httpcall.Request{Method: "GET", Path: "/x"}, time.Second)
				g.Expect(err).To(HaveOccurred())
				g.Expect(time.Since(started)).To(BeNumerically("<=", 10*time.Second))
				closeAndWait(client)
			})
		})
	}
}

// Guards against a panic at a watch or an opened stream that is answered without a body.
func TestAnswerWithoutBody(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &server{script: func(conn net.Conn, _ int32) {
					_ = readRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\n\r\n")
				}}
				client := s.client()
				response, err := client.Fetch(t.Context(), httpcall.Request{Method: "GET", Path: "/x"}, time.Second)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.Body).To(BeEmpty())
				closeAndWait(client)
			})
		})
	}
}
