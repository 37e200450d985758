package httpconn

import (
	"bytes"
	"errors"
	"fmt"
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
//   - status 101, since no request asks for another protocol, or
//   - a transfer encoding without HTTP/1.1, which fasthttp drops: the framing is faulty then (RFC 9112, section 6.1).
func CheckHead(head []byte) error {
	if status := statusCode(head); len(status) == 3 && (status[0] == '0' || string(status) == "101") {
		return fmt.Errorf("%w: status %s", ErrInvalid, status)
	}
	if line := statusLine(head); !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && hasTransferEncoding(head) {
		return fmt.Errorf("%w: transfer encoding without HTTP/1.1", ErrInvalid)
	}
	return nil
}

func hasTransferEncoding(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(bytes.TrimRight(name, " "), []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}

// statusLine returns the first line of a header section.
func statusLine(head []byte) []byte {
	line, _, _ := bytes.Cut(head[skipEmptyLines(head):], []byte("\n"))
	return line
}

// statusCode returns the digits of the status.
func statusCode(head []byte) []byte {
	_, rest, _ := bytes.Cut(statusLine(head), []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return bytes.TrimRight(status, "\r")
}
