package boundedbuffer

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrTooLarge is returned for a body beyond the bound of ReadAll.
var ErrTooLarge = errors.New("answer body too large")

// Buffer holds bytes in memory that a Memory bounds. It is not safe for concurrent use.
type Buffer struct {
	memory *Memory
	// bytes has the length of the whole buffer.
	bytes []byte
	// patience is how long Resize may still wait for memory.
	patience time.Duration
}

// New returns a Buffer of size bytes, at most FreeBytes.
func New(memory *Memory, size int) *Buffer {
	return &Buffer{memory: memory, bytes: make([]byte, min(size, FreeBytes))}
}

// WaitUpTo lets Resize and ReadAll wait until other buffers are released, for limit altogether. Without it they do not wait.
func (b *Buffer) WaitUpTo(limit time.Duration) { b.patience = limit }

// Bytes returns the whole buffer. It is valid until Resize, ReadAll or Release.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Counts reports whether the buffer counts against its Memory.
func (b *Buffer) Counts() bool { return len(b.bytes) > FreeBytes }

// Resize replaces the buffer by one of another size that begins with content. On an error, which wraps ErrNoMemory, the
// buffer is unchanged.
func (b *Buffer) Resize(size int, content []byte) error {
	if err := b.take(size); err != nil {
		return err
	}
	resized := make([]byte, size)
	copy(resized, content)
	b.Release()
	b.bytes = resized
	return nil
}

// waitInterval is the time between two attempts to take memory.
const waitInterval = 10 * time.Millisecond

// take reserves memory for size bytes, and waits for it as long as WaitUpTo allows.
func (b *Buffer) take(size int) error {
	for {
		err := b.memory.take(size)
		if err == nil || b.patience <= 0 {
			return err
		}
		time.Sleep(waitInterval)
		b.patience -= waitInterval
	}
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
