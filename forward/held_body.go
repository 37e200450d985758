package forward

import (
	"bytes"

	"knapweedhoist/internal/boundedbuffer"
)

// heldBody is the body of an answer whose buffer counts as memory in use until the server has written it.
type heldBody struct {
	*bytes.Reader
	buffer *boundedbuffer.Buffer
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.buffer.Release()
	return nil
}
