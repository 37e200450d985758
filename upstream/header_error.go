package upstream

import (
	"errors"

	"github.com/valyala/fasthttp"
)

// maxErrorText bounds the text of a headerError in bytes.
const maxErrorText = 200

// headerError is an error of reading a header section. Its text is bounded, since fasthttp quotes all bytes that it has read.
type headerError struct{ err error }

// Error implements error.
func (e headerError) Error() string {
	text := e.err.Error()
	return text[:min(len(text), maxErrorText)]
}

// Unwrap returns the error, and ErrOversized if the header section does not fit the buffer.
func (e headerError) Unwrap() []error {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(e.err, &small) {
		return []error{e.err, ErrOversized}
	}
	return []error{e.err}
}
