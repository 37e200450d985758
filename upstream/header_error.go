package upstream

import (
	"errors"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpconn"
)

// headerError is an error of reading a header section.
type headerError struct{ err error }

// Error implements error.
func (e headerError) Error() string {
	return httpconn.BoundText(e.err).Error()
}

// Unwrap returns the error, and ErrOversized if the header section does not fit the buffer.
func (e headerError) Unwrap() []error {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(e.err, &small) {
		return []error{e.err, ErrOversized}
	}
	return []error{e.err}
}
