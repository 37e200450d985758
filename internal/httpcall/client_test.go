package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/httpcall"
)

// server answers each connection with script, over pipes with the time of the bubble.
type server struct {
	script   func(conn net.Conn, number int32)
	accepted atomic.Int32
}

func (s *server) dial(context.Context, string) (net.Conn, error) {
	client, conn := net.Pipe()
	number := s.accepted.Add(1)
	go func() {
		defer conn.Close()
		s.script(conn, number)
	}()
	return client, nil
}

func (s *server) client() *httpcall.Client {
	return httpcall.New(httpcall.Config{Address: "127.0.0.1:1", Dial: s.dial})
}

// receive reads one request without a body.
func receive(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

func answer(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// settle lets the idle connections and their cleaner end before the bubble does.
func settle(client *httpcall.Client) {
	client.Close()
	time.Sleep(10 * time.Second)
}

// Guards against a write that is sent again after its connection broke, and a
// read that is not.
func TestOnlyReadsAreRepeated(t *testing.T) {
	for method, attempts := range map[string]int32{"GET": 2, "PUT": 1, "POST": 1, "DELETE": 1} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &server{script: func(conn net.Conn, _ int32) { _ = receive(bufio.NewReader(conn)) }}
				client := s.client()
				_, err := client.Do(t.Context(), httpcall.Request{Method: method, Path: "/x"})
				g.Expect(err).To(HaveOccurred())
				g.Expect(errors.Is(err, httpcall.ErrNotSent)).To(BeFalse())
				g.Expect(s.accepted.Load()).To(Equal(attempts))
				settle(client)
			})
		})
	}
}

// Guards against a silent connection that is used again after a timeout.
func TestTimeoutLeavesPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &server{script: func(conn net.Conn, number int32) {
			reader := bufio.NewReader(conn)
			for receive(reader) == nil {
				if number > 1 {
					answer(conn)
				}
			}
		}}
		client := s.client()
		began := time.Now()
		_, err := client.Do(t.Context(), httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(httpcall.DefaultTimeout))
		response, err := client.Do(t.Context(), httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("ok"))
		g.Expect(s.accepted.Load()).To(Equal(int32(2)))
		settle(client)
	})
}

// Guards against a call that outlives its context, and a call that is made
// after the context has ended.
func TestContextEndsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &server{script: func(conn net.Conn, _ int32) { _, _ = io.Copy(io.Discard, conn) }}
		client := s.client()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		began := time.Now()
		_, err := client.Do(ctx, httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(MatchError(context.Canceled))
		g.Expect(time.Since(began)).To(Equal(time.Second))
		_, err = client.Do(ctx, httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(MatchError(httpcall.ErrNotSent))
		_, err = client.Fetch(t.Context(), httpcall.Request{Method: "GET", Path: "/x"}, time.Minute)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(time.Second + time.Minute))
		settle(client)
	})
}

// Guards against a reply without a bound.
func TestReplyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &server{script: func(conn net.Conn, _ int32) {
			if receive(bufio.NewReader(conn)) == nil {
				answer(conn)
			}
		}}
		client := httpcall.New(httpcall.Config{Address: "127.0.0.1:1", Dial: s.dial, MaxResponseBytes: 1})
		_, err := client.Do(t.Context(), httpcall.Request{Method: "GET", Path: "/x"})
		g.Expect(err).To(HaveOccurred())
		_, err = client.Fetch(t.Context(), httpcall.Request{Method: "GET", Path: "/x"}, time.Minute)
		g.Expect(err).To(MatchError(httpcall.ErrTooLarge))
		settle(client)
	})
}

// Guards against a call that was never sent but counts as possibly run.
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
