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
// this status without a length, a part of the answer's body and a reset.
func (s *Server) CheckEarlyReset(status, part string, call func() error) error {
	for _, pause := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
		s.AnswerEarly("HTTP/1.1 "+status+"\r\n\r\n"+part, pause)
		for range earlyResets {
			if call() == nil {
				return fmt.Errorf("part of an answer taken for a complete one, reset after %s", pause)
			}
		}
	}
	return nil
}
