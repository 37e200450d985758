package forward

import (
	"errors"
	"io"
)

// answerBuffer holds bytes of an answer in memory that an answerMemory bounds.
type answerBuffer struct {
	memory *answerMemory
	// bytes has the length of the whole buffer.
	bytes []byte
}

// newAnswerBuffer returns a buffer of size bytes, which must not exceed freeBufferBytes.
func newAnswerBuffer(memory *answerMemory, size int) *answerBuffer {
	return &answerBuffer{memory: memory, bytes: make([]byte, size)}
}

// resize replaces the buffer by one of another size that begins with content. On an error the buffer is unchanged.
func (b *answerBuffer) resize(size int, content []byte) error {
	if err := b.memory.take(size); err != nil {
		return err
	}
	resized := make([]byte, size)
	copy(resized, content)
	b.release()
	b.bytes = resized
	return nil
}

// release empties the buffer and returns its memory.
func (b *answerBuffer) release() {
	b.memory.release(len(b.bytes))
	b.bytes = nil
}

// readAll reads a body of at most maxBytes. The result is valid until release.
func (b *answerBuffer) readAll(body io.Reader, maxBytes int) ([]byte, error) {
	for end := 0; ; {
		if end > maxBytes {
			return nil, errAnswerTooLarge
		}
		if end == len(b.bytes) {
			if err := b.resize(min(2*end, maxBytes+1), b.bytes); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(b.bytes[end:])
		end += n
		switch {
		case errors.Is(err, io.EOF):
			return b.bytes[:end], nil
		case err != nil:
			return nil, err
		}
	}
}
