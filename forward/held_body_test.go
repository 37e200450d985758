package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/boundedbuffer"
)

// failingWriter is the connection of a caller that has gone.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

var _ = Describe("Large buffered answer", func() {
	// Guards against memory that counts as free while callers that read slowly hold it, and against memory that counts as
	// in use for ever.
	DescribeTable("takes memory until it is written to the caller",
		func(size int, held bool) {
			m, body := boundedbuffer.NewMemory(64<<20), strings.Repeat("b", size)
			start := func() *exchange {
				e := &exchange{ctx: &fasthttp.RequestCtx{}, buffer: boundedbuffer.New(m, initialBufferBytes)}
				content, err := e.buffer.ReadAll(strings.NewReader(body), maxAnswerBytes)
				Expect(err).NotTo(HaveOccurred())
				e.setBody(content)
				e.releaseBuffer() // the handler returns
				Expect(m.Used() > 0).To(Equal(held))
				return e
			}
			var sent bytes.Buffer
			writer := bufio.NewWriter(&sent)
			Expect(start().ctx.Response.Write(writer)).To(Succeed())
			Expect(writer.Flush()).To(Succeed())
			Expect(m.Used()).To(BeZero())
			response, err := http.ReadResponse(bufio.NewReader(&sent), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.ContentLength).To(BeEquivalentTo(size))
			received, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(received)).To(Equal(body))

			_ = start().ctx.Response.Write(bufio.NewWriterSize(failingWriter{}, 16))
			Expect(m.Used()).To(BeZero())
		},
		Entry("large", 1<<20, true),
		Entry("small", 1<<10, false),
		Entry("empty", 0, false),
	)
})
