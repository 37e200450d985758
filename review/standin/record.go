package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens in a run to a file, one line an event, with the time since the start of the run.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// since returns the time from the start of the run to t.
func (r *recorder) since(t time.Time) time.Duration { return t.Sub(r.start) }

// line writes one event that happens now.
func (r *recorder) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

// lineAt writes one event that happened at t.
func (r *recorder) lineAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  "+format+"\n", append([]any{t.Sub(r.start).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
