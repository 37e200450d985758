package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"knapweedhoist/internal/boundedbuffer"
)

// maxEventBytes is the largest size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLong   = errors.New("stream event too long")
	errTruncatedEvent = errors.New("stream ended before the end of an event")
	idField           = []byte("id:")
	eventEndLF        = []byte("\n\n")
	eventEndCRLF      = []byte("\r\n\r\n")
)

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	src    io.Reader
	buffer *boundedbuffer.Buffer
	// start and end delimit the bytes of buffer that were read from src and not yet returned.
	start, end int
	// searched is the number of bytes from start that are known to contain no end of an event.
	searched int
	// err is the error of the last read of src.
	err error
}

// initialBufferBytes is the usual size of an eventReader's buffer; it fits several events.
const initialBufferBytes = 2048

func newEventReader(src io.Reader, buffer *boundedbuffer.Buffer) *eventReader {
	return &eventReader{src: src, buffer: buffer}
}

// next returns all complete events that have arrived, at least one, each with
// its terminating empty line. The bytes are valid until the next call. At the
// end of the stream it returns io.EOF, or errTruncatedEvent when an incomplete
// event remains.
func (r *eventReader) next() ([]byte, error) {
	for {
		if events := r.takeEvents(); len(events) > 0 {
			return events, nil
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// takeEvents returns the complete events among the unread bytes. It searches each byte once: an event of many small reads
// would otherwise take time with the square of its size.
func (r *eventReader) takeEvents() []byte {
	from := max(r.searched-len(eventEndCRLF)+1, 0)
	length := lastEventEnd(r.unread()[from:])
	if length == 0 {
		r.searched = r.end - r.start
		return nil
	}
	events := r.unread()[:from+length]
	r.start += len(events)
	r.searched = 0
	return events
}

// unread returns the bytes that were read from src and not yet returned.
func (r *eventReader) unread() []byte { return r.buffer.Bytes()[r.start:r.end] }

// endError returns the read error, or errTruncatedEvent for an io.EOF inside an event.
func (r *eventReader) endError() error {
	if errors.Is(r.err, io.EOF) && r.start < r.end {
		return errTruncatedEvent
	}
	return r.err
}

// fill reads more bytes into the buffer, which grows up to maxEventBytes. A read error is
// stored in r.err, so that next returns the complete events before it.
func (r *eventReader) fill() error {
	if err := r.makeRoom(); err != nil {
		return err
	}
	var n int
	n, r.err = r.src.Read(r.buffer.Bytes()[r.end:])
	r.end += n
	return nil
}

// makeRoom removes the bytes that were returned and grows the buffer if an event fills it. After a large event the buffer
// has its usual size again.
func (r *eventReader) makeRoom() error {
	unread, size := r.unread(), len(r.buffer.Bytes())
	switch {
	case len(unread) == size && size >= maxEventBytes:
		return fmt.Errorf("%w: more than %d bytes", errEventTooLong, maxEventBytes)
	case len(unread) == size:
		size *= 2
	case len(unread) < initialBufferBytes && r.buffer.Counts():
		size = initialBufferBytes
	}
	if size != len(r.buffer.Bytes()) {
		if err := r.buffer.Resize(size, unread); err != nil {
			return err
		}
	} else if r.start > 0 {
		copy(r.buffer.Bytes(), unread)
	}
	r.start, r.end = 0, len(unread)
	return nil
}

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEndLF); i >= 0 {
		end = i + len(eventEndLF)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// lastEventID returns the value of the last id field in events, or "" if there is none.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
