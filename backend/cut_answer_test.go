package backend

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/rawserver"
	"knapweedhoist/request"
)

// Guards against an answer of a plain service that was cut and reaches the caller as a whole one, and against a cut refusal that
// counts as proof that the call did not run. Only the connection's end ends an answer with neither a length nor chunks.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	server := newRawServer(t)
	const refusal = `{"outcome":"not_run"}`
	for _, body := range []string{"the body of an answer", "", refusal} {
		status := "200 OK"
		if body == refusal {
			status = "503 Full\r\nContent-Type: application/problem+json"
		}
		server.ForEachCut(status, body, func(cut rawserver.Cut) {
			for _, repeatable := range []bool{false, true} {
				call := outgoing(&request.Call{Method: "GET", Path: "/"})
				call.Repeatable = repeatable
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				answer, err := NewHTTPCaller().Call(ctx, server.Address(), call)
				cancel()
				switch {
				case cut.Whole && body == refusal:
					Expect(err).To(MatchError(ErrRefused), cut.Text)
				case cut.Whole:
					Expect(err).NotTo(HaveOccurred(), cut.Text)
					Expect(string(answer.Body)).To(Equal(body), cut.Text)
				case err == nil:
					Expect(cut.Unframed).To(BeTrue(), cut.Text)
					Expect(strings.HasPrefix(body, string(answer.Body))).To(BeTrue(), cut.Text)
				default:
					Expect(err).To(MatchError(ErrBroken), cut.Text)
					Expect(errors.Is(err, ErrRefused)).To(BeFalse(), cut.Text)
				}
			}
		})
	}
}
