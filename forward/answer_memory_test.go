package forward

import (
	"errors"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("answerMemory", func() {
	read := func(m *answerMemory, body io.Reader, maxBytes int) (string, *answerBuffer, error) {
		buffer := newAnswerBuffer(m, initialBufferBytes)
		content, err := buffer.readAll(body, maxBytes)
		Expect(m.used.Load()).To(BeNumerically("<=", m.limit))
		return string(content), buffer, err
	}

	// Guards against a process that ends for lack of memory because endpoints send bodies without end.
	It("bounds one answer, and all answers together", func() {
		m := &answerMemory{limit: 4 << 20}
		_, buffer, err := read(m, endless{}, 1<<20)
		Expect(err).To(MatchError(errAnswerTooLarge))
		Expect(buffer.bytes).To(HaveLen(1<<20 + 1))
		for range 3 {
			_, _, err = read(m, endless{}, 1<<20)
		}
		Expect(err).To(MatchError(errAnswerMemory))
	})

	// Guards against sound answers that fail because bodies without end use up the memory.
	It("leaves room for a sound answer beside any number of bodies without end", func() {
		m, sound := &answerMemory{limit: 4 << 20}, strings.Repeat("s", freeBufferBytes)
		for range 100 {
			_, _, err := read(m, endless{}, 1<<20)
			Expect(err).To(HaveOccurred())
		}
		content, _, err := read(m, strings.NewReader(sound[1:]), 1<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(sound[1:]))
	})

	It("returns the memory of an answer that is no longer needed", func() {
		m, body := &answerMemory{limit: 8 * freeBufferBytes}, strings.Repeat("b", 2*freeBufferBytes)
		for range 3 {
			content, buffer, err := read(m, strings.NewReader(body), len(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(content).To(Equal(body))
			buffer.release()
			Expect(m.used.Load()).To(BeZero())
		}
	})

	// Guards against an answer that ends early and is passed on as complete.
	It("returns the error of a body that ends early", func() {
		m := &answerMemory{limit: 1 << 20}
		broken := errors.New("broken")
		_, buffer, err := read(m, io.MultiReader(strings.NewReader("half"), failing{broken}), 1<<20)
		Expect(err).To(MatchError(broken))
		buffer.release()
		Expect(m.used.Load()).To(BeZero())
	})
})

// failing is a body whose read fails.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }
