package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Body reads a body by its framing.
type Body struct {
	reader io.Reader
	// chunked bodies have a trailer line after the last chunk.
	chunked *bufio.Reader
	// left is what is missing of a body with a length, -1 without.
	left int
	// toEnd: the body ends with the connection.
	toEnd    bool
	complete bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if b.left > 0 {
		b.left -= n
	}
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, truncated(err)
	case b.left > 0:
		return n, ErrTruncated
	}
	if b.chunked != nil {
		if err := skipTrailer(b.chunked); err != nil {
			return n, err
		}
	}
	b.complete = true
	return n, io.EOF
}

// truncated does not wrap err, which may be io.EOF: an early end must not pass for the end of the body.
func truncated(err error) error {
	return fmt.Errorf("%w: %s", ErrTruncated, err.Error())
}

// skipTrailer reads the fields after the last chunk, up to the empty line.
func skipTrailer(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return truncated(err)
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			return nil
		}
	}
}
