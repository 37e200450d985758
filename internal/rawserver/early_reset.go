package rawserver

import (
	"fmt"
	"time"
)

// UploadBytes is the size of a request body that is more than the socket buffers hold.
const UploadBytes = 12 << 20

// earlyResets is how often CheckEarlyReset makes a call for each pause.
const earlyResets = 5

// CheckEarlyReset returns an error if one of its calls succeeds. While the body of the request is being written, each gets an answer of
// this status without a length, a part of the answer's body and a reset, or a FIN and a reset; some get other framings or a part of the
// header section.
func (s *Server) CheckEarlyReset(status, part string, call func() error) error {
	for _, pause := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
		s.AnswerEarly("HTTP/1.1 "+status+"\r\n\r\n"+part, pause)
		for range earlyResets {
			if call() == nil {
				return fmt.Errorf("part of an answer taken for a complete one, reset after %s", pause)
			}
		}
	}
	head := "HTTP/1.1 " + status + "\r\n"
	for _, raw := range []string{
		"", head, head + "\r\n" + part, head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(part)+1, part),
		head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
	} {
		for _, answer := range []func(string, time.Duration){s.AnswerEarly, s.CloseEarly} {
			answer(raw, time.Millisecond)
			if call() == nil {
				return fmt.Errorf("part of an answer taken for a complete one: %q", raw)
			}
		}
	}
	return nil
}
