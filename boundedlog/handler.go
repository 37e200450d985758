// Package boundedlog writes structured logs without ever blocking the program: lines
// over a rate limit, and lines for which the queue to the output is full, are dropped
// and counted. Warnings and errors have a separate rate limit, so that failures are
// logged when ordinary lines are dropped.
package boundedlog

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"knapweedhoist/internal/defaults"
)

// Config sets the level and the bounds of a Logger.
type Config struct {
	Level slog.Level
	// LinesPerSecond is the rate limit of lines below warnings, and separately of warnings and
	// above. Bursts may have twice as many lines. Default 100, which is two lines per request at
	// the request rate of an instance in the first deployments.
	LinesPerSecond float64
	// Queue is the maximum number of lines that wait for the output. Default 1024.
	Queue int
}

// Logger is a slog.Logger whose lines are written by a separate goroutine.
type Logger struct {
	*slog.Logger
	out *output
}

// output queues lines and writes them in a separate goroutine.
type output struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// flushTimeout bounds how long Close waits when the output blocks.
const flushTimeout = 200 * time.Millisecond

// New returns a Logger that writes JSON lines to w until Close.
func New(w io.Writer, cfg Config) *Logger {
	defaults.Set(&cfg.LinesPerSecond, 100)
	defaults.Set(&cfg.Queue, 1024)
	out := &output{lines: make(chan []byte, cfg.Queue), stop: make(chan struct{}), done: make(chan struct{})}
	go out.run(w)
	burst := int(2 * cfg.LinesPerSecond)
	h := &handler{
		Handler:  slog.NewJSONHandler(out, &slog.HandlerOptions{Level: cfg.Level}),
		out:      out,
		ordinary: rate.NewLimiter(rate.Limit(cfg.LinesPerSecond), burst),
		failures: rate.NewLimiter(rate.Limit(cfg.LinesPerSecond), burst),
	}
	return &Logger{Logger: slog.New(h), out: out}
}

// Close writes the queued lines and waits for that at most flushTimeout.
func (l *Logger) Close() {
	close(l.out.stop)
	select {
	case <-l.out.done:
	case <-time.After(flushTimeout):
	}
}

// Write implements io.Writer. It queues one whole line, or drops it when the queue is
// full, and never blocks.
func (o *output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

func (o *output) run(w io.Writer) {
	defer close(o.done)
	for {
		select {
		case line := <-o.lines:
			// A failed write of the log cannot be reported anywhere.
			_, _ = w.Write(line)
		case <-o.stop:
			o.flush(w)
			return
		}
	}
}

func (o *output) flush(w io.Writer) {
	for {
		select {
		case line := <-o.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// handler drops lines over the rate limit.
type handler struct {
	slog.Handler
	out                *output
	ordinary, failures *rate.Limiter
}

// Handle implements slog.Handler. The first line after dropped
// lines that is within its rate limit has their number as lines_left_out; the
// number is lost if the queue is full for that line.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	limiter := h.ordinary
	if record.Level >= slog.LevelWarn {
		limiter = h.failures
	}
	if !limiter.AllowN(record.Time, 1) {
		h.out.dropped.Add(1)
		return nil
	}
	if dropped := h.out.dropped.Swap(0); dropped > 0 {
		record = record.Clone()
		record.Add("lines_left_out", dropped)
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	copied := *h
	copied.Handler = h.Handler.WithAttrs(attrs)
	return &copied
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	copied := *h
	copied.Handler = h.Handler.WithGroup(name)
	return &copied
}
