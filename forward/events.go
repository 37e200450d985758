package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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
	src io.Reader
	buf []byte
	// start and end delimit the bytes of buf that were read from src and not yet returned.
	start, end int
	// err is the error of the last read of src.
	err error
}

// initialBufferBytes is the initial size of an eventReader's buffer; it fits several events.
const initialBufferBytes = 2048

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, initialBufferBytes)}
}

// next returns all complete events that have arrived, at least one, each with
// its terminating empty line. The bytes are valid until the next call. At the
// end of the stream it returns io.EOF, or errTruncatedEvent when an incomplete
// event remains.
func (r *eventReader) next() ([]byte, error) {
	for {
		if length := lastEventEnd(r.buf[r.start:r.end]); length > 0 {
			events := r.buf[r.start : r.start+length]
			r.start += length
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

// endError returns the read error, or errTruncatedEvent for an io.EOF inside an event.
func (r *eventReader) endError() error {
	if errors.Is(r.err, io.EOF) && r.start < r.end {
		return errTruncatedEvent
	}
	return r.err
}

// fill reads more bytes into buf, which grows up to maxEventBytes. A read error is
// stored in r.err, so that next returns the complete events before it.
func (r *eventReader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return fmt.Errorf("%w: more than %d bytes", errEventTooLong, maxEventBytes)
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	var n int
	n, r.err = r.src.Read(r.buf[r.end:])
	r.end += n
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
