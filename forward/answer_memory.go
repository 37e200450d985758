package forward

import (
	"errors"
	"sync/atomic"
)

// answerMemory bounds the memory of all answerBuffers together, since endpoints in trouble may send bytes without end to
// many requests at the same time. It is safe for concurrent use.
type answerMemory struct {
	// limit is in bytes.
	limit int64
	used  atomic.Int64
}

// errAnswerMemory is returned for an answer that does not fit beside the others in progress.
var errAnswerMemory = errors.New("no memory left for the answer")

// freeBufferBytes is the size up to which a buffer does not count, so that answers of the usual size are never refused.
const freeBufferBytes = 16 << 10

// A buffer leaves headroomFactor times its size free, or the limit divided by headroomFraction if that is less.
const (
	headroomFactor   = 8
	headroomFraction = 4
)

// take reserves the memory of a buffer. It fails if that leaves too little free for smaller buffers: however many endpoints
// send without end, the answers of sound ones find memory.
func (m *answerMemory) take(size int) error {
	if size <= freeBufferBytes {
		return nil
	}
	headroom := min(headroomFactor*int64(size), m.limit/headroomFraction)
	if used := m.used.Add(int64(size)); used+headroom > m.limit {
		m.used.Add(-int64(size))
		return errAnswerMemory
	}
	return nil
}

// release returns the memory of a buffer.
func (m *answerMemory) release(size int) {
	if size > freeBufferBytes {
		m.used.Add(-int64(size))
	}
}
