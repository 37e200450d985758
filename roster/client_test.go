package roster

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"knapweedhoist/internal/rawserver"
)

// Guards against a response that was cut or is broken, or is that of another program, and counts as an empty list, which takes all entries
// away.
func TestResponseWithoutAListIsAnError(t *testing.T) {
	RegisterTestingT(t)
	server, err := rawserver.New()
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	client := NewClient(slog.New(slog.DiscardHandler), ClientConfig{Address: server.Address()})
	defer client.Close()
	server.ForEachCut("200 OK", `{"at_ms":5,"entries":[]}`, func(cut rawserver.Cut) {
		snapshot, err := client.Read(context.Background())
		if cut.Whole {
			Expect(err).NotTo(HaveOccurred(), cut.Text)
			Expect(snapshot.AtMs).To(BeEquivalentTo(5), cut.Text)
			return
		}
		Expect(err).To(MatchError(ErrUnavailable), cut.Text)
	})
	Expect(server.CheckHeads("200 OK", `{"at_ms":5,"entries":[]}`, func() error {
		_, err := client.Read(context.Background())
		return err
	})).To(Succeed())
	for _, body := range []string{`{}`, `null`, `{"error":"x"}`, `{"entries":[]}`, `{"at_ms":0,"entries":[]}`} {
		server.Answer(fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body), false)
		_, err := client.Read(context.Background())
		Expect(err).To(MatchError(ErrUnavailable), body)
	}
}
