package rawserver

import "fmt"

// ForEachInvalid calls check for answers that are no valid ones, each with this status and body as far as it holds them: with a
// blank or a control byte in the name of a field, in the answer or in an informational one before it, and with a status below 100.
func (s *Server) ForEachInvalid(status, body string, check func(raw string)) {
	for _, line := range invalidFields() {
		for _, raw := range answersWith(line, status, body) {
			s.answerAndCheck(raw, check)
		}
		s.answerAndCheck("HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+line+"\r\n\r\n"+answersWith("X-A: a", status, body)[0], check)
	}
	for _, code := range []string{"000", "001", "099"} {
		s.answerAndCheck(answersWith("X-A: a", code+status[len(code):], body)[0], check)
	}
}

// ForEachUnusual calls check for valid answers with this status and body and with a field that is rarely seen.
func (s *Server) ForEachUnusual(status, body string, check func(raw string)) {
	for _, line := range []string{
		"X-Tab:\ta\tb\t", "X-Colon: a: b:c:", "X-Colon:a:b", "X-Empty:", "X-Empty: \t", "X-Blank:   a b  ", "X-Bytes: \x80\xff",
		"X-Folded: a\r\n b", "X-Folded:\r\n\ta\r\n \t b", "X-Folded: a\r\n b c: d", "X-Folded: a\r\n :", "!#$%&'*+-.^_`|~09azAZ: a", "x: a",
	} {
		for _, raw := range answersWith(line, status, body) {
			s.answerAndCheck(raw, check)
		}
	}
}

func (s *Server) answerAndCheck(raw string, check func(raw string)) {
	s.Answer(raw, false)
	check(raw)
}

// invalidFields returns lines of a header section whose field names hold a blank or a control byte.
func invalidFields() []string {
	lines := []string{"Content Length: 1", "Content-Length : 1", "Transfer Encoding: chunked", "Transfer-Encoding : chunked"}
	for c := range '!' {
		if c != '\n' {
			lines = append(lines, fmt.Sprintf("X%cA: a", c), fmt.Sprintf("X-A%c: a", c))
		}
		if c != '\n' && c != '\t' && c != ' ' { // a blank begins a continuation of the line before
			lines = append(lines, fmt.Sprintf("%cX-A: a", c))
		}
	}
	return append(lines, "X\x7fA: a", "X-A\x7f: a", "\x7fX-A: a")
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
