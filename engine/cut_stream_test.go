package engine_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/engine"
	"knapweedhoist/internal/rawserver"
)

// Guards against a stream that was cut and counts as complete, and against an event of which a part was passed on.
func TestCutStreamIsBroken(t *testing.T) {
	g := NewWithT(t)
	server, err := rawserver.New()
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	finish := strings.Replace(tokenEvent(2), "null", `"stop"`, 1)
	body := tokenEvent(0) + tokenEvent(1) + finish + "data: " + engine.StreamEnd + "\n\n"
	client := engine.NewClient(lg, engine.ClientConfig{Address: server.Address()})
	defer client.Close()
	server.ForEachCut("200 OK", body, func(cut rawserver.Cut) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var received []engine.Event
		err := client.Stream(ctx, engine.Request{ID: "r1", Attempt: 1}, func(event engine.Event) error {
			received = append(received, event)
			return nil
		})
		g.Expect(len(received)).To(BeNumerically("<=", 3), cut.Text)
		for i, event := range received {
			g.Expect(event).To(HaveField("Index", i), cut.Text)
			g.Expect(event).To(HaveField("Token", "t"), cut.Text)
			g.Expect(event.FinishReason != "").To(Equal(i == 2), cut.Text)
		}
		switch {
		case cut.Whole:
			g.Expect(err).NotTo(HaveOccurred(), cut.Text)
		case err == nil: // only the framing behind the end of the stream is missing
			g.Expect(received).To(HaveLen(3), cut.Text)
			g.Expect(cut.Text).To(ContainSubstring("[DONE]"))
		default:
			g.Expect(err).To(MatchError(engine.ErrBroken), cut.Text)
		}
	})
}

// Guards against the tokens of a broken answer, and against a stream that was reset and counts as complete.
func TestBrokenAnswerIsNoStream(t *testing.T) {
	g := NewWithT(t)
	server, err := rawserver.New()
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	client := engine.NewClient(lg, engine.ClientConfig{Address: server.Address()})
	defer client.Close()
	call := func(content string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		request := engine.Request{ID: "r1", Attempt: 1, Messages: []engine.Message{{Role: "user", Content: content}}}
		err := client.Stream(ctx, request, func(engine.Event) error { return nil })
		if err != nil {
			g.Expect(err).To(MatchError(engine.ErrBroken))
		}
		return err
	}
	finish := strings.Replace(tokenEvent(0), "null", `"stop"`, 1)
	g.Expect(server.CheckHeads("200 OK", finish+"data: "+engine.StreamEnd+"\n\n", func() error { return call("") })).To(Succeed())
	g.Expect(server.CheckEarlyReset("200 OK", tokenEvent(0), func() error {
		return call(strings.Repeat("x", rawserver.UploadBytes))
	})).To(Succeed())
	g.Expect(server.CheckHeads("200 OK", `{}`, func() error {
		_, err := client.Load(t.Context())
		return err
	})).To(Succeed())
}
