package httpconn

// MaxErrorText bounds the text of an error of BoundText in bytes.
const MaxErrorText = 200

// boundedError is an error with a bounded text.
type boundedError struct{ err error }

// BoundText returns an error that wraps err and has a text of at most MaxErrorText bytes, since fasthttp quotes all bytes that it has
// read. It returns nil for nil.
func BoundText(err error) error {
	if err == nil {
		return nil
	}
	return boundedError{err}
}

// Error implements error.
func (e boundedError) Error() string {
	text := e.err.Error()
	return text[:min(len(text), MaxErrorText)]
}

// Unwrap returns the error.
func (e boundedError) Unwrap() error { return e.err }
