// Package boundedlog writes structured logs that never delay the program: lines
// beyond a rate, and lines that the output does not take, are left out and
// counted. Warnings and errors have a rate of their own, so that failures are
// kept when ordinary lines are left out.
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

// Config bounds the lines of a process.
type Config struct {
	Level slog.Level
	// LinesPerSecond bounds lines below warnings, and again warnings and above. Default 100, which covers each
	// request of an instance of the first deployments twice.
	LinesPerSecond float64
	// Queue is the number of lines that wait for the output. Default 1024.
	Queue int
}

// Logger is a slog.Logger with its bounded output.
type Logger struct {
	*slog.Logger
	out *output
}

// output writes lines in a goroutine of its own.
type output struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// flushTime is how long Close waits for an output that does not read.
const flushTime = 200 * time.Millisecond

// New returns a logger that writes JSON lines to w until Close.
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

// Close writes the waiting lines, for a short time at most.
func (l *Logger) Close() {
	close(l.out.stop)
	select {
	case <-l.out.done:
	case <-time.After(flushTime):
	}
}

// Write implements io.Writer for one whole line. It never blocks.
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
			// There is nowhere to report that the log's own output failed.
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

// handler leaves out lines beyond the rate.
type handler struct {
	slog.Handler
	out                *output
	ordinary, failures *rate.Limiter
}

// Handle implements slog.Handler. The first line after a gap tells how many lines were left out.
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
