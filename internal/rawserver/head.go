package rawserver

import (
	"fmt"
	"strings"
)

// ForEachInvalid calls check for invalid answers. Each has this status and body but for one fault: whitespace or a control character in
// a field name, in the answer or in an informational one before it, a status that is not a final one of three digits, another protocol, or
// a control character in the reason phrase.
func (s *Server) ForEachInvalid(status, body string, check func(raw string)) {
	sound := answersWith("X-A: a", status, body)[0]
	replace := func(old, replacement string) { s.answerAndCheck(strings.Replace(sound, old, replacement, 1), check) }
	for _, line := range invalidFields() {
		for _, raw := range answersWith(line, status, body) {
			s.answerAndCheck(raw, check)
		}
		replace("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+line+"\r\n\r\n")
	}
	for _, space := range []string{" ", "\t"} { // before the first field there is none to continue
		replace("\r\n", "\r\n"+space+"X-A: a\r\n")
	}
	for _, code := range []string{
		"", "0", "00", "000", "001", "099", "0000", "0200", "2000", "+200", "+20", "-01", "2x0", "OK", "0x200", "20", "99", "200,", "100", "101", "199",
	} {
		replace(status[:len("200")], code)
	}
	for _, version := range []string{"", "HTTP/1.1\t", "HTTP/x.y ", "HTTP 1.1 ", "ICY "} {
		replace("HTTP/1.1 ", version)
	}
	for _, control := range []string{"\x00", "\x01", "\r", "\x1f", "\x7f"} {
		replace(status[:len("200 ")], status[:len("200 ")]+control)
	}
}

// ForEachUnusual calls check for valid answers with this status and body and with a field or a reason phrase that is rarely seen.
func (s *Server) ForEachUnusual(status, body string, check func(raw string)) {
	for _, line := range []string{
		"X-Tab:\ta\tb\t", "X-Colon: a: b:c:", "X-Colon:a:b", "X-Empty:", "X-Empty: \t", "X-Spaces:   a b  ", "X-Bytes: \x80\xff",
		"X-Folded: a\r\n b", "X-Folded:\r\n\ta\r\n \t b", "X-Folded: a\r\n b c: d", "X-Folded: a\r\n :", "!#$%&'*+-.^_`|~09azAZ: a", "x: a",
	} {
		for _, raw := range answersWith(line, status, body) {
			s.answerAndCheck(raw, check)
		}
	}
	for _, reason := range []string{"", "\t", "\x80\xff ", "a: b "} {
		s.answerAndCheck(answersWith("X-A: a", status[:len("200 ")]+reason+status[len("200 "):], body)[0], check)
	}
}

func (s *Server) answerAndCheck(raw string, check func(raw string)) {
	s.Answer(raw, false)
	check(raw)
}

// invalidFields returns lines of a header section whose field names hold whitespace or a control character.
func invalidFields() []string {
	lines := []string{"Content Length: 1", "Content-Length : 1", "Transfer Encoding: chunked", "Transfer-Encoding : chunked"}
	for c := rune(0); c <= '\x7f'; c++ {
		if c == '\n' || c > ' ' && c < '\x7f' {
			continue
		}
		lines = append(lines, fmt.Sprintf("X%cA: a", c), fmt.Sprintf("X-A%c: a", c))
		if c != '\t' && c != ' ' { // these would continue the line before
			lines = append(lines, fmt.Sprintf("%cX-A: a", c))
		}
	}
	return lines
}

// answersWith returns answers with a line as the first, the second and the last one of their fields.
func answersWith(line, status, body string) []string {
	const connection = "Connection: close\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	head := "HTTP/1.1 " + status + "\r\n"
	line += "\r\n"
	return []string{
		head + connection + line + length + "\r\n" + body,
		head + line + connection + length + "\r\n" + body,
		head + connection + length + line + "\r\n" + body,
	}
}

// CheckHeads returns an error for the first answer with this status and body that call does not treat as its header section requires:
// call must fail for an invalid one and succeed for a valid one.
func (s *Server) CheckHeads(status, body string, call func() error) (failed error) {
	s.ForEachInvalid(status, body, func(raw string) {
		if call() == nil && failed == nil {
			failed = fmt.Errorf("invalid answer taken for a valid one: %q", raw)
		}
	})
	s.ForEachUnusual(status, body, func(raw string) {
		if err := call(); err != nil && failed == nil {
			failed = fmt.Errorf("valid answer rejected: %w: %q", err, raw)
		}
	})
	return failed
}
