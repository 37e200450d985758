package httpconn

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// pipeTo returns a Conn whose server sends the responses, each in parts of size bytes, the first one after the first request.
func pipeTo(t *testing.T, size int, responses ...string) *Conn {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	go func() {
		defer func() { _ = server.Close() }()
		reader := bufio.NewReader(server)
		for _, response := range responses {
			if _, err := reader.ReadString('\n'); err != nil {
				return
			}
			for len(response) > 0 {
				n := min(size, len(response))
				if _, err := io.WriteString(server, response[:n]); err != nil {
					return
				}
				response = response[n:]
			}
		}
	}()
	return New(client)
}

// Guards against a sound response that is rejected, or changed, whatever the parts are in which it arrives.
func TestSoundResponsesPass(t *testing.T) {
	RegisterTestingT(t)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\nHTTP/1.1 000 no\r\n\r\nno head",
		"\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\n",
		"HTTP/1.1 999\r\n\r\nHTTP/1.1 000\r\n\r\n",
		"HTTP/1.0  200 OK\nA: b\n c\n\nHTTP/1.1 000\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA:\tb: c\r\n d e: f\r\n\t:g\r\n!#$%&'*+-.^_`|~09azAZ:\r\n\r\nA B: c\r\n\r\n",
	} {
		for size := 1; size <= len(response); size++ {
			conn := pipeTo(t, size, response, response)
			for range 2 {
				_, err := io.WriteString(conn, "request\n")
				Expect(err).NotTo(HaveOccurred())
				got := make([]byte, len(response))
				_, err = io.ReadFull(conn, got)
				Expect(err).NotTo(HaveOccurred(), "%q in parts of %d", response, size)
				Expect(string(got)).To(Equal(response))
			}
		}
	}
}

// Guards against an invalid response that fasthttp takes for a sound one.
func TestInvalidResponsesFail(t *testing.T) {
	RegisterTestingT(t)
	for _, response := range []string{
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 000\r\n\r\n",
		"HTTP/1.1  099 OK\r\nA: b\r\n\r\n",
		"\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-encoding :gzip\r\n\r\n",
		"HTTP/1.1 200 O\x00K\r\n\r\n",
		"HTTP/1.1 200 OK\r\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length : 4\r\n\r\nbody",
		"\r\nHTTP/1.1 200 OK\nA: b\nB\x00: c\n\r\n",
		"HTTP/1.1 100 Continue\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for size := 1; size <= len(response); size++ {
			conn := pipeTo(t, size, response)
			_, err := io.WriteString(conn, "request\n")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(conn)
			Expect(err).To(MatchError(ErrInvalid), "%q in parts of %d", response, size)
		}
	}
}

// Guards against a header section that the client takes as complete earlier than it is
// checked.
func FuzzHeadLength(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody")
	f.Add("\r\nHTTP/1.1 200 OK\n\r\n\r\n")
	f.Add("HTTP/1.0 200\r\nA: b\r\n c\r\n\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nA B: c\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var header fasthttp.ResponseHeader
		reader := bufio.NewReaderSize(strings.NewReader(text), 1<<16)
		if header.Read(reader) != nil {
			return
		}
		length := HeadLength([]byte(text))
		if length == 0 {
			t.Fatalf("fasthttp reads a header section in %q", text)
		}
		if CheckHead([]byte(text[:length])) != nil {
			return
		}
		if header.StatusCode() < 100 {
			t.Fatalf("status %d is not rejected: %q", header.StatusCode(), text)
		}
		if !httpguts.ValidHeaderFieldValue(string(header.StatusMessage())) {
			t.Fatalf("reason phrase %q is not rejected: %q", header.StatusMessage(), text)
		}
		for name := range header.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) {
				t.Fatalf("field name %q is not rejected: %q", name, text)
			}
		}
	})
}

// Guards against memory for a header section without end.
func TestHeadWithoutEndIsNotKept(t *testing.T) {
	RegisterTestingT(t)
	conn := pipeTo(t, 4096, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a", 4*maxHeadBytes))
	_, err := io.WriteString(conn, "request\n")
	Expect(err).NotTo(HaveOccurred())
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = conn.Read(buffer)
		Expect(len(conn.head)).To(BeNumerically("<=", maxHeadBytes+len(buffer)))
	}
	Expect(len(conn.head)).To(BeZero())
}
