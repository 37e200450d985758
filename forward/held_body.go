package forward

import "bytes"

// heldBody is the body of an answer whose buffer counts as memory in use until the server has written it.
type heldBody struct {
	*bytes.Reader
	buffer *answerBuffer
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.buffer.release()
	return nil
}
