package boundedbuffer

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for a body beyond the bound of ReadAll.
var ErrTooLarge = errors.New("answer body too large")

// Buffer holds bytes in memory that a Memory bounds. It is not safe for concurrent use.
type Buffer struct {
	memory *Memory
	// bytes has the length of the whole buffer.
	bytes []byte
}

// New returns a Buffer of size bytes, at most FreeBytes.
func New(memory *Memory, size int) *Buffer {
	return &Buffer{memory: memory, bytes: make([]byte, min(size, FreeBytes))}
}

// Bytes returns the whole buffer. It is valid until Resize, ReadAll or Release.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Counts reports whether the buffer counts against its Memory.
func (b *Buffer) Counts() bool { return len(b.bytes) > FreeBytes }

// Resize replaces the buffer by one of another size that begins with content. On an error, which wraps ErrNoMemory, the
// buffer is unchanged.
func (b *Buffer) Resize(size int, content []byte) error {
	if err := b.memory.take(size); err != nil {
		return err
	}
	resized := make([]byte, size)
	copy(resized, content)
	b.Release()
	b.bytes = resized
	return nil
}

// Release empties the buffer and returns its memory.
func (b *Buffer) Release() {
	b.memory.release(len(b.bytes))
	b.bytes = nil
}

// ReadAll reads a body of at most maxBytes. The result is valid until Release. The error is that of the body or wraps
// ErrTooLarge or ErrNoMemory.
func (b *Buffer) ReadAll(body io.Reader, maxBytes int) ([]byte, error) {
	for end := 0; ; {
		if end == len(b.bytes) {
			if err := b.Resize(min(2*end, maxBytes+1), b.bytes); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(b.bytes[end:])
		end += n
		switch {
		case end > maxBytes:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, maxBytes)
		case errors.Is(err, io.EOF):
			return b.bytes[:end], nil
		case err != nil:
			return nil, err
		}
	}
}
