package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
)

// Body reads a response body according to its framing: by length, in chunks or until the connection closes.
type Body struct {
	reader io.Reader
	// trailerReader reads the trailer section after the last chunk. It is nil unless the body is chunked.
	trailerReader *bufio.Reader
	// remaining is the number of unread bytes of a body with a length, -1 for other bodies.
	remaining int
	// untilClose means that the end of the connection delimits the body. wasReset then reports whether a reset ended it.
	untilClose bool
	wasReset   func() bool
	// complete is set when the body was read to its end.
	complete bool
}

// Read implements io.Reader. It returns io.EOF at the end of a complete body and ErrTruncated when the connection or
// the framing ends early.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if b.remaining > 0 {
		b.remaining -= n
	}
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, truncatedError(err)
	case b.remaining > 0, b.untilClose && b.wasReset():
		return n, ErrTruncated
	}
	if b.trailerReader != nil {
		if err := skipTrailer(b.trailerReader); err != nil {
			return n, err
		}
	}
	b.complete = true
	return n, io.EOF
}

// truncatedError returns ErrTruncated with the text of err. It does not wrap err, which may be io.EOF, because callers
// must not take a truncated body for a complete one.
func truncatedError(err error) error {
	if errors.Is(err, httputil.ErrLineTooLong) || errors.Is(err, bufio.ErrBufferFull) {
		return fmt.Errorf("%w: %w: %s", ErrTruncated, ErrOversized, err.Error())
	}
	return fmt.Errorf("%w: %s", ErrTruncated, err.Error())
}

// maxTrailerLines bounds the trailer section after a chunked body.
const maxTrailerLines = 64

// skipTrailer reads the trailer section up to and including the empty line.
func skipTrailer(reader *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return truncatedError(err)
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: %w: trailer section of more than %d lines", ErrTruncated, ErrOversized, maxTrailerLines)
}
