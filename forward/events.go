package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLong  = errors.New("event too long")
	errInsideEvent   = errors.New("stream ended inside an event")
	fieldID          = []byte("id:")
	eventEnd         = []byte("\n\n")
	eventEndCarriage = []byte("\r\n\r\n")
)

// eventReader splits a stream into whole events.
type eventReader struct {
	from  io.Reader
	bytes []byte
	// start and end delimit what was read and not returned.
	start, end int
	err        error
}

// eventBufferBytes is the first size of an eventReader's buffer, several events.
const eventBufferBytes = 2048

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: from, bytes: make([]byte, eventBufferBytes)}
}

// next returns at least one whole event with the empty line after it, and all
// others that have arrived. The bytes are valid until the next call. At the
// end it returns io.EOF, or errInsideEvent when the rest is no whole event.
func (r *eventReader) next() ([]byte, error) {
	for {
		if whole := lastEventEnd(r.bytes[r.start:r.end]); whole > 0 {
			events := r.bytes[r.start : r.start+whole]
			r.start += whole
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

func (r *eventReader) endError() error {
	if errors.Is(r.err, io.EOF) && r.start < r.end {
		return errInsideEvent
	}
	return r.err
}

// fill reads more bytes. The error of the stream is kept until all whole events were returned.
func (r *eventReader) fill() error {
	if r.start > 0 {
		r.end = copy(r.bytes, r.bytes[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.bytes) {
		if len(r.bytes) >= maxEventBytes {
			return fmt.Errorf("%w: over %d bytes", errEventTooLong, maxEventBytes)
		}
		r.bytes = append(r.bytes, make([]byte, len(r.bytes))...)
	}
	var n int
	n, r.err = r.from.Read(r.bytes[r.end:])
	r.end += n
	return nil
}

// lastEventEnd returns the length of the whole events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(b, eventEndCarriage); i >= 0 {
		end = max(end, i+len(eventEndCarriage))
	}
	return end
}

// lastEventID returns the last id among whole events, or "" when there is none.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, fieldID); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
