package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxLineBytes bounds one line of a stream, the data of one event, and the body of the reply that refuses a stream.
const maxLineBytes = 64 << 10

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// eventReader parses the server-sent events of a completion.
type eventReader struct {
	reader *bufio.Reader
	// index is the value of the latest id field.
	index int
	// data is the data of the event that is being read.
	data []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(body)}
}

// next returns the next event, or io.EOF after StreamEnd. It skips comments and unknown fields, and returns
// io.ErrUnexpectedEOF if the body ends before StreamEnd.
func (r *eventReader) next() (Event, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := r.parseField(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if len(r.data) > 0 {
			return r.decodeEvent()
		}
	}
}

func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return r.readLongLine(line)
	}
	return bytes.TrimRight(line, "\r\n"), unexpectedEOF(err)
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, because next returns io.EOF only after StreamEnd.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLongLine reads the rest of a line that exceeds the buffer of the bufio.Reader; start is the part read so far.
func (r *eventReader) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= maxLineBytes {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, unexpectedEOF(err)
		}
	}
	return nil, fmt.Errorf("stream line exceeds %d bytes", maxLineBytes)
}

func (r *eventReader) parseField(line []byte) error {
	if value, ok := bytes.CutPrefix(line, dataField); ok {
		r.data = append(r.data, bytes.TrimSpace(value)...)
		if len(r.data) > maxLineBytes {
			return fmt.Errorf("data of a stream event exceeds %d bytes", maxLineBytes)
		}
	}
	value, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return nil
	}
	index, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil {
		return fmt.Errorf("id of a stream event: %w", err)
	}
	r.index = index
	return nil
}

// decodeEvent decodes the data read so far into an event, or returns io.EOF for StreamEnd.
func (r *eventReader) decodeEvent() (Event, error) {
	data := r.data
	r.data = r.data[:0]
	if string(data) == StreamEnd {
		return Event{}, io.EOF
	}
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("data of a stream event: %w", err)
	}
	if len(chunk.Choices) != 1 {
		return Event{}, fmt.Errorf("stream event with %d choices, want 1", len(chunk.Choices))
	}
	return chunk.event(r.index), nil
}

func (c Chunk) event(index int) Event {
	event := Event{Index: index, Token: c.Choices[0].Delta.Content, Usage: c.Usage}
	if reason := c.Choices[0].FinishReason; reason != nil {
		event.FinishReason = *reason
	}
	return event
}
