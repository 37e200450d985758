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

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 64 << 10

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// eventReader reads the server-sent events of a completion as they arrive.
type eventReader struct {
	reader *bufio.Reader
	index  int
	data   []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(body)}
}

// next returns the next event, or io.EOF after StreamEnd. Comments are skipped.
func (r *eventReader) next() (Event, error) {
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := r.field(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if len(r.data) > 0 {
			return r.dispatch()
		}
	}
}

func (r *eventReader) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return r.longLine(line)
	}
	return bytes.TrimRight(line, "\r\n"), unexpected(err)
}

// unexpected keeps an end of the body inside the stream apart from its proper end.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// longLine reads a line that does not fit the buffer of the reader.
func (r *eventReader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= maxLineBytes {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, unexpected(err)
		}
	}
	return nil, fmt.Errorf("line over %d bytes", maxLineBytes)
}

func (r *eventReader) field(line []byte) error {
	if value, ok := bytes.CutPrefix(line, dataField); ok {
		r.data = append(r.data, bytes.TrimSpace(value)...)
		if len(r.data) > maxLineBytes {
			return fmt.Errorf("event over %d bytes", maxLineBytes)
		}
	}
	value, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return nil
	}
	index, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil {
		return fmt.Errorf("event id: %w", err)
	}
	r.index = index
	return nil
}

func (r *eventReader) dispatch() (Event, error) {
	data := r.data
	r.data = r.data[:0]
	if string(data) == StreamEnd {
		return Event{}, io.EOF
	}
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("event data: %w", err)
	}
	if len(chunk.Choices) != 1 {
		return Event{}, fmt.Errorf("event with %d choices", len(chunk.Choices))
	}
	return chunk.event(r.index), nil
}

func (c Chunk) event(index int) Event {
	event := Event{Index: index, Token: c.Choices[0].Delta.Content, Usage: c.Usage}
	if reason := c.Choices[0].FinishReason; reason != nil {
		event.Finish = *reason
	}
	return event
}
