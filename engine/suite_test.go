package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/engine"
)

var lg = slog.New(slog.DiscardHandler)

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// newPipedClient returns a client whose connections are pipes, so that the fake clock of the synctest bubble applies.
// script serves each connection after the header of its request.
func newPipedClient(script func(server net.Conn)) *engine.Client {
	dial := func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			reader := bufio.NewReader(server)
			for line := ""; line != "\r\n"; {
				line, _ = reader.ReadString('\n')
			}
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			script(server)
		}()
		return client, nil
	}
	return engine.NewClient(lg, engine.ClientConfig{Address: "127.0.0.1:1", Dial: dial})
}

// writeChunk writes text as one chunk of the HTTP body.
func writeChunk(server net.Conn, text string) {
	_, _ = fmt.Fprintf(server, "%x\r\n%s\r\n", len(text), text)
}

// tokenEvent returns the server-sent event of one token.
func tokenEvent(index int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t\"},\"finish_reason\":null}]}\n\n", index)
}

// stream calls client.Stream and returns the number of events that the client yielded.
func stream(ctx context.Context, client *engine.Client, yield func(engine.Event) error) (int, error) {
	count := 0
	err := client.Stream(ctx, engine.Request{ID: "r1", Attempt: 1}, func(event engine.Event) error {
		count++
		return yield(event)
	})
	return count, err
}

// ignoreEvent accepts each event.
func ignoreEvent(engine.Event) error { return nil }

// Guards against an idle connection that is closed too late or never, and against an idle timeout that SSE comments do
// not restart.
func TestStreamSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		client := newPipedClient(func(server net.Conn) {
			_, _ = io.WriteString(server, responseHead)
			writeChunk(server, tokenEvent(0))
			for range 10 {
				time.Sleep(5 * time.Second)
				writeChunk(server, ": no token yet\n\n")
			}
		})
		start := time.Now()
		count, err := stream(t.Context(), client, ignoreEvent)
		g.Expect(err).To(MatchError(engine.ErrBroken))
		g.Expect(count).To(Equal(1))
		g.Expect(time.Since(start)).To(Equal(56 * time.Second))
	})
}

// Guards against a truncated or malformed stream that is treated as a complete answer.
func TestStreamCutShort(t *testing.T) {
	ends := map[string]func(server net.Conn){
		"body ends":    func(server net.Conn) { _, _ = io.WriteString(server, "0\r\n\r\n") },
		"closed":       func(net.Conn) {},
		"half a chunk": func(server net.Conn) { _, _ = io.WriteString(server, "40\r\ndata: [DO") },
		"bad data":     func(server net.Conn) { writeChunk(server, "data: {]\n\n") },
		"endless line": func(server net.Conn) {
			for range 100 {
				writeChunk(server, fmt.Sprintf("%01024d", 0))
			}
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				client := newPipedClient(func(server net.Conn) {
					_, _ = io.WriteString(server, responseHead)
					writeChunk(server, tokenEvent(0)[:20])
					writeChunk(server, tokenEvent(0)[20:]+tokenEvent(1))
					end(server)
					_ = server.Close()
				})
				count, err := stream(t.Context(), client, ignoreEvent)
				g.Expect(err).To(MatchError(engine.ErrBroken))
				g.Expect(count).To(Equal(2))
			})
		})
	}
}

// Guards against a connection that stays open after the stream's context has ended or yield has returned an error.
func TestStreamClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		closed := make(chan error, 4)
		client := newPipedClient(func(server net.Conn) {
			_, _ = io.WriteString(server, responseHead)
			writeChunk(server, tokenEvent(0))
			for {
				time.Sleep(time.Second)
				if _, err := io.WriteString(server, "3\r\n:x\n\r\n"); err != nil {
					closed <- err
					return
				}
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := stream(ctx, client, ignoreEvent)
		g.Expect(err).To(MatchError(engine.ErrBroken))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(<-closed).To(HaveOccurred())
		enough := errors.New("enough")
		_, err = stream(t.Context(), client, func(engine.Event) error { return enough })
		g.Expect(err).To(Equal(enough))
		g.Expect(<-closed).To(HaveOccurred())
		g.Expect(<-closed).To(HaveOccurred(), "the connection of the cancel call must be closed")
		client.Close()
		time.Sleep(10 * time.Second)
	})
}

// Guards against an order that counts as done because of a response to a request that was never made.
func TestSwitchingProtocolsIsNoSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		client := newPipedClient(func(server net.Conn) {
			_, _ = io.WriteString(server, "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")
		})
		g.Expect(client.Order(t.Context(), engine.Order{})).To(MatchError(engine.ErrBroken))
		g.Expect(client.Cancel(t.Context(), "r1", 1)).To(MatchError(engine.ErrBroken))
		client.Close()
		time.Sleep(10 * time.Second) // until the cleaner of idle connections has ended
	})
}
