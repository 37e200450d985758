package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"knapweedhoist/engine"
	"knapweedhoist/gateway"
)

// burstEngine sends the same token without pauses, so that only the relay is measured.
type burstEngine struct {
	engine.Engine
	tokens int
}

func (e burstEngine) Stream(_ context.Context, _ engine.Request, yield func(engine.Event) error) error {
	for i := range e.tokens {
		if err := yield(engine.Event{Index: i, Token: " token"}); err != nil {
			return err
		}
	}
	return yield(engine.Event{FinishReason: "stop"})
}

// listen also serves the instance on a loopback TCP port and returns its address.
func (s *testInstance) listen(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.server.Serve(listener) }()
	return listener.Addr().String()
}

var streamedBody = `{` + prompt + `,"stream":true}`

var streamedRequest = []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead, len(streamedBody), streamedBody))

var eventPrefix = []byte("\nid: ")

// streamReader counts the events of a streamed answer.
type streamReader struct {
	conn net.Conn
	body io.ReadCloser
	// tail holds the last bytes read, since a prefix may be split over two reads.
	tail []byte
}

// openStream sends streamedRequest and reads the header of the answer.
func openStream(b *testing.B, address string) *streamReader {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := conn.Write(streamedRequest); err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.Fatal(err)
	}
	return &streamReader{conn: conn, body: response.Body, tail: []byte("\n")}
}

// read waits for bytes and returns the number of events that begin in them,
// and whether the answer has ended.
func (r *streamReader) read(b *testing.B, buffer []byte) (events int, ended bool) {
	n, err := r.body.Read(buffer[len(r.tail):])
	if err != nil && !errors.Is(err, io.EOF) {
		b.Fatal(err)
	}
	copy(buffer, r.tail)
	part := buffer[:len(r.tail)+n]
	r.tail = append(r.tail[:0], part[max(0, len(part)-len(eventPrefix)+1):]...)
	return bytes.Count(part, eventPrefix), err != nil
}

// BenchmarkRelay measures events from the engine's callback to the caller's
// socket, with 50 concurrent streams of 1000 tokens over the loopback interface.
func BenchmarkRelay(b *testing.B) {
	RegisterTestingT(b)
	const streams, tokens = 50, 1000
	s := newTestInstance(burstEngine{tokens: tokens}, gateway.Config{}, noRemote{})
	address := s.listen(b)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for range b.N {
		done := make(chan struct{}, streams)
		for range streams {
			go func() {
				defer func() { done <- struct{}{} }()
				stream := openStream(b, address)
				defer func() { _ = stream.conn.Close() }()
				buffer := make([]byte, 32<<10)
				for ended := false; !ended; {
					_, ended = stream.read(b, buffer)
				}
			}()
		}
		for range streams {
			<-done
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	events := float64(b.N) * streams * (tokens + 1)
	b.ReportMetric(events/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/events, "allocs/event")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/events, "B/event")
	Expect(s.close()).To(Succeed())
}

// pacedEngine sends one token for each value received from pace, which all streams share.
type pacedEngine struct {
	engine.Engine
	tokens int
	pace   chan struct{}
}

func (e *pacedEngine) Stream(_ context.Context, _ engine.Request, yield func(engine.Event) error) error {
	for i := range e.tokens {
		<-e.pace
		if err := yield(engine.Event{Index: i, Token: " token"}); err != nil {
			return err
		}
	}
	return yield(engine.Event{FinishReason: "stop"})
}

// BenchmarkRelayPaced is BenchmarkRelay with an engine that sends a token only
// after a caller has read one, so that most writes to a socket carry one event.
func BenchmarkRelayPaced(b *testing.B) {
	RegisterTestingT(b)
	const streams, tokens = 50, 1000
	paced := &pacedEngine{tokens: tokens, pace: make(chan struct{}, streams*tokens)}
	s := newTestInstance(paced, gateway.Config{}, noRemote{})
	address := s.listen(b)
	b.ResetTimer()
	for range b.N {
		for range streams {
			paced.pace <- struct{}{}
		}
		done := make(chan struct{}, streams)
		for range streams {
			go func() {
				defer func() { done <- struct{}{} }()
				stream := openStream(b, address)
				defer func() { _ = stream.conn.Close() }()
				buffer := make([]byte, 32<<10)
				for events, ended := 0, false; !ended; {
					events, ended = stream.read(b, buffer)
					for range events {
						paced.pace <- struct{}{}
					}
				}
			}()
		}
		for range streams {
			<-done
		}
		for len(paced.pace) > 0 {
			<-paced.pace
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)*streams*(tokens+1)/b.Elapsed().Seconds(), "events/s")
	Expect(s.close()).To(Succeed())
}

// BenchmarkOpenStream measures the memory of a stream that has relayed 500
// tokens and waits for more: heap and stacks of both sides of the connection.
func BenchmarkOpenStream(b *testing.B) {
	RegisterTestingT(b)
	const streams, tokens = 1000, 500
	for range b.N {
		s := newTestInstance(&stallingEngine{tokens: tokens}, gateway.Config{KeepAliveInterval: hangGuard}, noRemote{})
		address := s.listen(b)
		before := liveMemory()
		conns := make([]net.Conn, streams)
		buffer := make([]byte, 32<<10)
		for i := range conns {
			stream := openStream(b, address)
			conns[i] = stream.conn
			for events := 0; events < tokens; {
				n, ended := stream.read(b, buffer)
				if events += n; ended {
					b.Fatal("the stream ended early")
				}
			}
		}
		b.ReportMetric(float64(liveMemory()-before)/streams, "B/stream")
		for _, entry := range s.registry.InProgress() {
			_ = entry.Move()
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
		s.runner.Wait()
		Expect(s.close()).To(Succeed())
	}
}

// stallingEngine sends its tokens and then waits until it is cancelled.
type stallingEngine struct {
	engine.Engine
	tokens int
}

func (e *stallingEngine) Stream(ctx context.Context, _ engine.Request, yield func(engine.Event) error) error {
	for i := range e.tokens {
		if err := yield(engine.Event{Index: i, Token: " token"}); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (*stallingEngine) Cancel(context.Context, string, int) error { return nil }

// liveMemory returns the live heap and the stacks in use, in bytes.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
