package boundedbuffer

import (
	"errors"
	"sync/atomic"
)

// Memory bounds the memory of a set of Buffers. It is safe for concurrent use.
type Memory struct {
	// limit is in bytes.
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory for limit bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: int64(limit)} }

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// ErrNoMemory is returned for a buffer that does not fit beside the others.
var ErrNoMemory = errors.New("no memory left for the body")

// FreeBytes is the size up to which a buffer does not count, so that messages of the usual size are never refused.
const FreeBytes = 16 << 10

// A buffer leaves headroomFactor times its size free, or the limit divided by headroomFraction if that is less.
const (
	headroomFactor   = 8
	headroomFraction = 4
)

// take reserves the memory of a buffer. It fails if that leaves too little free for smaller buffers: however many messages
// have no end, those of sound processes find memory.
func (m *Memory) take(size int) error {
	if size <= FreeBytes {
		return nil
	}
	headroom := min(headroomFactor*int64(size), m.limit/headroomFraction)
	if used := m.used.Add(int64(size)); used+headroom > m.limit {
		m.used.Add(-int64(size))
		return ErrNoMemory
	}
	return nil
}

// release returns the memory of a buffer.
func (m *Memory) release(size int) {
	if size > FreeBytes {
		m.used.Add(-int64(size))
	}
}
