package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

var _ = Describe("Response", func() {
	read := func(text string) (string, error) {
		local, _ := net.Pipe()
		r := &Response{conn: &conn{Conn: local, reader: bufio.NewReader(strings.NewReader(text))}, writeDone: make(chan error, 1)}
		r.writeDone <- nil
		Expect(r.Header.Read(r.conn.reader)).To(Succeed())
		r.initBody(false)
		body, err := io.ReadAll(r.Body)
		return string(body), err
	}

	// Guards against a body that lacks bytes of its own or contains bytes that follow it on the connection.
	DescribeTable("reads a body according to its framing",
		func(text, body string) {
			got, err := read(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(body))
		},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyrest", "body"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nrest", "body"),
		Entry("in chunks with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: 1\r\n\r\n", "ab"),
		Entry("until the connection closes", "HTTP/1.1 200 OK\r\n\r\nbody", "body"),
		Entry("without a body", "HTTP/1.1 204 No Content\r\n\r\n", ""),
	)

	// Guards against passing on a truncated response as complete.
	DescribeTable("returns ErrTruncated for a body that ends early",
		func(text string) {
			_, err := read(text)
			Expect(err).To(MatchError(ErrTruncated))
			Expect(errors.Is(err, io.EOF)).To(BeFalse())
		},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody"),
		Entry("inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nbody"),
		Entry("after a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"),
		Entry("before the end of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"),
	)
})
