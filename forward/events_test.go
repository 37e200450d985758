package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"knapweedhoist/internal/boundedbuffer"
)

// testEventReader returns an eventReader and the memory of its buffer.
func testEventReader(src io.Reader) (*eventReader, *boundedbuffer.Memory) {
	memory := boundedbuffer.NewMemory(4 * maxEventBytes)
	return newEventReader(src, boundedbuffer.New(memory, initialBufferBytes)), memory
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("eventReader", func() {
	read := func(r *eventReader, memory *boundedbuffer.Memory) (string, error) {
		defer func() {
			r.buffer.Release()
			Expect(memory.Used()).To(BeZero())
		}()
		var all strings.Builder
		for {
			events, err := r.next()
			if err != nil {
				return all.String(), err
			}
			all.Write(events)
		}
	}

	It("guards against events that are dropped or changed on their way to the caller", func() {
		all, err := read(testEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n")))
		Expect(all).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n"))
		Expect(err).To(Equal(io.EOF))
	})

	It("guards against passing on an incomplete event of an endpoint that crashed", func() {
		all, err := read(testEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda")))
		Expect(all).To(Equal("id: 1\ndata: a\n\n"))
		Expect(err).To(MatchError(errTruncatedEvent))
	})

	It("guards against buffering an event without end", func() {
		_, err := read(testEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1))))
		Expect(err).To(MatchError(errEventTooLong))
	})

	It("guards against a stream that keeps the memory of a large event, and against the loss of what follows it", func() {
		large, small := "data: "+strings.Repeat("x", maxEventBytes/2)+"\n\n", "data: a\n\n"
		r, memory := testEventReader(io.MultiReader(strings.NewReader(large), strings.NewReader(small)))
		events, err := r.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(events)).To(Equal(large))
		Expect(memory.Used()).To(BeNumerically(">", len(large)))
		events, err = r.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(events)).To(Equal(small))
		Expect(memory.Used()).To(BeZero())
	})

	It("guards against many events without end that together exceed the memory", func() {
		memory, refused := boundedbuffer.NewMemory(4*maxEventBytes), 0
		for range 40 {
			_, err := newEventReader(endless{}, boundedbuffer.New(memory, initialBufferBytes)).next()
			if errors.Is(err, boundedbuffer.ErrNoMemory) {
				refused++
			}
			Expect(memory.Used()).To(BeNumerically("<=", 4*maxEventBytes))
		}
		Expect(refused).To(BeNumerically(">", 30))
		sound := "data: " + strings.Repeat("x", boundedbuffer.FreeBytes/2) + "\n\n"
		events, err := newEventReader(strings.NewReader(sound), boundedbuffer.New(memory, initialBufferBytes)).next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(events)).To(Equal(sound))
	})

	It("guards against resuming after the wrong event: takes ids from id fields only", func() {
		Expect(lastEventID([]byte("id: 1\ndata: a\n\nid: 22\ndata: id: 3\n\n"))).To(Equal("22"))
		Expect(lastEventID([]byte("data: a\n\n"))).To(Equal(""))
	})
})

// TestEventBoundaries guards against events that are lost or truncated when the
// stream arrives byte by byte.
func TestEventBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := rapid.SliceOfN(rapid.StringMatching(`data: [a-z]{0,40}(\n\n|\r\n\r\n)`), 0, 20).Draw(t, "events")
		rest := rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "rest")
		text := strings.Join(complete, "")
		r, _ := testEventReader(iotest.OneByteReader(strings.NewReader(text + rest)))
		var got strings.Builder
		for {
			events, err := r.next()
			if err != nil {
				break
			}
			got.Write(events)
		}
		if got.String() != text {
			t.Fatalf("got events %q, want %q", got.String(), text)
		}
	})
}

// BenchmarkLongEvent reads an event of the largest size in small pieces, as an endpoint in trouble may send it.
func BenchmarkLongEvent(b *testing.B) {
	event := strings.Repeat("x", maxEventBytes)
	for b.Loop() {
		src := iotest.DataErrReader(&pieces{strings.NewReader(event)})
		r, _ := testEventReader(src)
		_, _ = r.next()
	}
}

// pieces returns at most 680 bytes at a time, as 4 KiB of chunks of one byte hold.
type pieces struct{ src io.Reader }

func (p *pieces) Read(b []byte) (int, error) { return p.src.Read(b[:min(len(b), 680)]) }
