package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/request"
)

// repeatingServer sends each answer, which is the path of the call, and then a copy of it as soon as a value is sent to copies.
func repeatingServer(t *testing.T, copies, copied chan struct{}) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(conn, copies, copied)
		}
	}()
	return listener.Addr().String()
}

func repeatAnswers(conn net.Conn, copies, copied chan struct{}) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		call, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(call.URL.Path), call.URL.Path)
		_, _ = io.WriteString(conn, answer)
		<-copies
		_, _ = io.WriteString(conn, answer)
		copied <- struct{}{}
	}
}

// Guards against the copy of an answer, sent late on the same connection, that becomes the answer to the next call.
func TestLateCopyIsNotTheAnswerToTheNextCall(t *testing.T) {
	RegisterTestingT(t)
	copies, copied := make(chan struct{}), make(chan struct{})
	address, caller := repeatingServer(t, copies, copied), NewHTTPCaller()
	for _, path := range []string{"/1", "/2", "/3"} {
		call := outgoing(&request.Call{Method: "GET", Path: path})
		call.Repeatable = true
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		answer, err := caller.Call(ctx, address, call)
		cancel()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal(path))
		copies <- struct{}{}
		<-copied
	}
}
