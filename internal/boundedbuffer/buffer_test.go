package boundedbuffer

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "boundedbuffer")
}

var _ = Describe("Buffer", func() {
	read := func(m *Memory, body io.Reader, maxBytes int) (string, *Buffer, error) {
		buffer := New(m, FreeBytes)
		content, err := buffer.ReadAll(body, maxBytes)
		Expect(m.Used()).To(BeNumerically("<=", m.limit))
		return string(content), buffer, err
	}

	// Guards against a process that ends for lack of memory because endpoints send bodies without end.
	It("bounds one answer, and all answers together", func() {
		m := NewMemory(4 << 20)
		_, buffer, err := read(m, endless{}, 1<<20)
		Expect(err).To(MatchError(ErrTooLarge))
		Expect(buffer.bytes).To(HaveLen(1<<20 + 1))
		for range 3 {
			_, _, err = read(m, endless{}, 1<<20)
		}
		Expect(err).To(MatchError(ErrNoMemory))
	})

	DescribeTable("accepts a body of up to the bound, whether its end comes with the last byte or later",
		func(size, maxBytes int) {
			for _, wrap := range []func(io.Reader) io.Reader{iotest.DataErrReader, iotest.OneByteReader} {
				m, body := NewMemory(64*FreeBytes), strings.Repeat("b", size)
				content, _, err := read(m, wrap(strings.NewReader(body)), maxBytes)
				if size > maxBytes {
					Expect(err).To(MatchError(ErrTooLarge))
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(content).To(Equal(body))
			}
		},
		Entry(nil, 1, 1), Entry(nil, 2, 1), Entry(nil, FreeBytes, FreeBytes), Entry(nil, FreeBytes+1, FreeBytes),
		Entry(nil, 2*FreeBytes, 2*FreeBytes), Entry(nil, 2*FreeBytes+1, 2*FreeBytes), Entry(nil, 0, 1),
	)

	// Guards against sound answers that fail because bodies without end use up the memory.
	It("leaves room for a sound answer beside any number of bodies without end", func() {
		m, sound := NewMemory(4<<20), strings.Repeat("s", FreeBytes)
		for range 100 {
			_, _, err := read(m, endless{}, 1<<20)
			Expect(err).To(HaveOccurred())
		}
		content, _, err := read(m, strings.NewReader(sound[1:]), 1<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(sound[1:]))
	})

	It("returns the memory of an answer that is no longer needed", func() {
		m, body := NewMemory(8*FreeBytes), strings.Repeat("b", 2*FreeBytes)
		for range 3 {
			content, buffer, err := read(m, strings.NewReader(body), len(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(content).To(Equal(body))
			buffer.Release()
			Expect(m.Used()).To(BeZero())
		}
	})

	// Guards against an answer that ends early and is passed on as complete.
	It("returns the error of a body that ends early", func() {
		m := NewMemory(1 << 20)
		broken := errors.New("broken")
		_, buffer, err := read(m, io.MultiReader(strings.NewReader("half"), failing{broken}), 1<<20)
		Expect(err).To(MatchError(broken))
		buffer.Release()
		Expect(m.Used()).To(BeZero())
	})
})

// failing is a body whose read fails.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }
