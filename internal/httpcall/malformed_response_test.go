package httpcall_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/httpcall"
)

// Guards against bytes that are no response and become a success: 000 was taken for 200.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	RegisterTestingT(t)
	for _, status := range []string{"000", "001", "099"} {
		synctest.Test(t, func(*testing.T) {
			s := &server{script: func(conn net.Conn, _ int32) {
				if readRequest(bufio.NewReader(conn)) == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}}
			client := s.client()
			defer closeAndWait(client)
			request := httpcall.Request{Method: "GET", Path: "/"}
			_, err := client.Do(context.Background(), request)
			Expect(err).To(HaveOccurred(), status)
			_, err = client.Fetch(context.Background(), request, time.Second)
			Expect(err).To(HaveOccurred(), status)
			_, err = client.Open(context.Background(), request)
			Expect(err).To(HaveOccurred(), status)
		})
	}
}

// Guards against log lines that hold all that a server in trouble has sent instead of a response.
func TestErrorsQuoteFewBytes(t *testing.T) {
	RegisterTestingT(t)
	for _, garbage := range []string{
		strings.Repeat("\x01", 4000) + "\r\n\r\n", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("\x01", 4000) + "\r\n\r\n",
	} {
		synctest.Test(t, func(*testing.T) {
			s := &server{script: func(conn net.Conn, _ int32) {
				if readRequest(bufio.NewReader(conn)) == nil {
					_, _ = io.WriteString(conn, garbage)
				}
			}}
			client := s.client()
			defer closeAndWait(client)
			request := httpcall.Request{Method: "GET", Path: "/"}
			_, doErr := client.Do(context.Background(), request)
			_, fetchErr := client.Fetch(context.Background(), request, time.Second)
			_, openErr := client.Open(context.Background(), request)
			for _, err := range []error{doErr, fetchErr, openErr} {
				Expect(err).To(HaveOccurred())
				Expect(len(err.Error())).To(BeNumerically("<=", 300))
			}
		})
	}
}
