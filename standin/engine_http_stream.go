package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"

	"knapweedhoist/engine"
)

// serveStream hijacks the connection, so that it detects at once that the
// caller closed it, and can silence the connection or break the stream after an exact token.
func (e *Engine) serveStream(ctx context.Context, rc *fasthttp.RequestCtx) {
	request, ok := parseCompletion(rc)
	if !ok {
		return
	}
	s, fault, err := e.accept(ctx, request)
	if err != nil {
		writeEngineReply(rc, nil, err)
		return
	}
	rc.HijackSetNoResponse(true)
	rc.Hijack(func(raw net.Conn) { e.writeStream(ctx, raw, s, fault) })
}

func parseCompletion(rc *fasthttp.RequestCtx) (engine.Request, bool) {
	var body engine.CompletionBody
	if !readJSON(rc, &body) {
		return engine.Request{}, false
	}
	if !body.Stream {
		writeProblem(rc, fasthttp.StatusBadRequest, "only streams are served")
		return engine.Request{}, false
	}
	request := body.Request
	request.ID = string(rc.Request.Header.Peek(engine.HeaderRequestID))
	attempt, attemptErr := headerInt(rc, engine.HeaderAttempt, 1)
	priority, priorityErr := headerInt(rc, engine.HeaderPriority, 0)
	if request.ID == "" || attemptErr != nil || priorityErr != nil {
		writeProblem(rc, fasthttp.StatusBadRequest, "request id, attempt or priority")
		return engine.Request{}, false
	}
	request.Attempt = attempt
	request.Priority = engine.Priority(priority)
	return request, true
}

func headerInt(rc *fasthttp.RequestCtx, name string, fallback int) (int, error) {
	text := string(rc.Request.Header.Peek(name))
	if text == "" {
		return fallback, nil
	}
	return strconv.Atoi(text)
}

// writeStream writes the response header and the events of a sequence. It writes
// the end of the stream only if the sequence finished and every event was sent;
// otherwise the connection closes without it.
func (e *Engine) writeStream(ctx context.Context, raw net.Conn, s *sequence, fault effect) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The goroutine detects that the caller closed the connection. It reads from the
	// underlying connection, because fasthttp reuses the read buffer of a hijacked
	// connection after the handler returns.
	if watched, ok := connFromContext(ctx); ok {
		go func() {
			defer cancel()
			_, _ = io.Copy(io.Discard, watched)
		}()
	}
	writer := newEventWriter(raw, s.request)
	if err := writer.writeHeader(); err != nil {
		e.release(s)
		return
	}
	if err := e.sendTokens(ctx, s, fault, sink{event: writer.writeEvent, idle: writer.writeComment}); err != nil {
		return
	}
	_ = writer.writeEnd()
}

// eventWriter writes server-sent events with chunked transfer encoding.
type eventWriter struct {
	buffered *bufio.Writer
	chunked  io.WriteCloser
	request  engine.Request
}

func newEventWriter(conn net.Conn, request engine.Request) *eventWriter {
	buffered := bufio.NewWriter(conn)
	return &eventWriter{buffered: buffered, chunked: httputil.NewChunkedWriter(buffered), request: request}
}

func (w *eventWriter) writeHeader() error {
	var header fasthttp.ResponseHeader
	header.SetStatusCode(fasthttp.StatusOK)
	header.SetContentType("text/event-stream")
	header.SetContentLength(-1)
	header.SetConnectionClose()
	if err := header.Write(w.buffered); err != nil {
		return err
	}
	return w.buffered.Flush()
}

func (w *eventWriter) writeEvent(event engine.Event) error {
	choice := engine.Choice{Delta: engine.Delta{Content: event.Token}}
	if event.FinishReason != "" {
		choice.FinishReason = &event.FinishReason
	}
	data, err := json.Marshal(engine.Chunk{
		ID: w.request.ID, Object: engine.ChunkObject, Model: w.request.Model,
		Choices: []engine.Choice{choice}, Usage: event.Usage,
	})
	if err != nil {
		return err
	}
	return w.write(fmt.Sprintf("id: %d\ndata: %s\n\n", event.Index, data))
}

func (w *eventWriter) writeComment() error {
	return w.write(": no token yet\n\n")
}

func (w *eventWriter) write(text string) error {
	if _, err := io.WriteString(w.chunked, text); err != nil {
		return err
	}
	return w.buffered.Flush()
}

func (w *eventWriter) writeEnd() error {
	if err := w.write("data: " + engine.StreamEnd + "\n\n"); err != nil {
		return err
	}
	if err := w.chunked.Close(); err != nil {
		return err
	}
	if _, err := io.WriteString(w.buffered, "\r\n"); err != nil {
		return err
	}
	return w.buffered.Flush()
}
