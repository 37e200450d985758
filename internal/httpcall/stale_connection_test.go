package httpcall_test

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

	"knapweedhoist/internal/httpcall"
)

// Guards against the copy of a response, sent late on the same connection, that becomes the response to the next request; and
// against a request that fails because of it, although it was not sent and there are other connections.
func TestLateCopyIsNotTheNextResponse(t *testing.T) {
	RegisterTestingT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	copies, copied := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatResponses(conn, copies, copied)
		}
	}()
	client := httpcall.New(httpcall.Config{Address: listener.Addr().String(), Timeout: 20 * time.Second})
	defer client.Close()
	for _, method := range []string{"GET", "PUT", "DELETE", "POST"} {
		response, err := client.Do(context.Background(), httpcall.Request{Method: method, Path: "/"})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal(method))
		copies <- struct{}{}
		<-copied
	}
}

// repeatResponses sends each response, which is the method of the request, and then a copy of it as soon as there is a value
// in copies.
func repeatResponses(conn net.Conn, copies, copied chan struct{}) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.Method), request.Method)
		_, _ = io.WriteString(conn, response)
		<-copies
		_, _ = io.WriteString(conn, response)
		copied <- struct{}{}
	}
}
