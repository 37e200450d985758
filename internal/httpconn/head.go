package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"iter"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that a header section is not that of a valid response.
var ErrInvalid = errors.New("invalid header section of a response")

// HeadLength returns the length in bytes of the header section at the start of b, with its empty line and with empty lines
// before it, or 0 if it is not complete.
func HeadLength(b []byte) int {
	for start := skipEmptyLines(b); start < len(b); {
		end := bytes.IndexByte(b[start:], '\n')
		if end < 0 {
			return 0
		}
		if len(bytes.TrimRight(b[start:start+end], "\r")) == 0 {
			return start + end + 1
		}
		start += end + 1
	}
	return 0
}

func skipEmptyLines(b []byte) int { return len(b) - len(bytes.TrimLeft(b, "\r\n")) }

// CheckHead returns an error that wraps ErrInvalid if a complete header section has
//   - a status below 100, of which fasthttp takes 000 for 200,
//   - status 101, since no request asks for another protocol,
//   - a control character in the status line, since fasthttp passes on all reason phrases,
//   - a field name that is no token, since fasthttp passes on names with spaces and drops those before the colon, or
//   - a transfer encoding without HTTP/1.1, which fasthttp drops: the framing is faulty then (RFC 9112, section 6.1).
func CheckHead(head []byte) error {
	if status := statusCode(head); len(status) == 3 && (status[0] == '0' || string(status) == "101") {
		return fmt.Errorf("%w: status %s", ErrInvalid, status)
	}
	line := statusLine(head)
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return BoundText(fmt.Errorf("%w: status line %q", ErrInvalid, line))
	}
	isHTTP11 := bytes.HasPrefix(line, []byte("HTTP/1.1 "))
	for name := range fieldNames(head) {
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return BoundText(fmt.Errorf("%w: field name %q", ErrInvalid, name))
		}
		if !isHTTP11 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return fmt.Errorf("%w: transfer encoding without HTTP/1.1", ErrInvalid)
		}
	}
	return nil
}

// fieldNames returns what precedes the colon of each field, or the whole line without one.
func fieldNames(head []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		_, fields, _ := bytes.Cut(head[skipEmptyLines(head):], []byte("\n"))
		for line := range bytes.Lines(fields) {
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
				continue // the end of the section, or a continuation of the line before
			}
			if name, _, _ := bytes.Cut(line, []byte(":")); !yield(name) {
				return
			}
		}
	}
}

// statusLine returns the first line of a header section without its end.
func statusLine(head []byte) []byte {
	line, _, _ := bytes.Cut(head[skipEmptyLines(head):], []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// statusCode returns the digits of the status.
func statusCode(head []byte) []byte {
	_, rest, _ := bytes.Cut(statusLine(head), []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return status
}
