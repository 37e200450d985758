package devtool

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// demoTimeout limits the whole demonstration.
const demoTimeout = 55 * time.Second

// demoCommand runs the main use cases on a sample deployment and checks their outcomes.
type demoCommand struct {
	Timeline string `long:"timeline" description:"Write the timeline as an HTML page" value-name:"FILE"`
	Verbose  bool   `long:"verbose" description:"Show the logs of all instances"`

	stdout io.Writer
	stderr io.Writer
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	lg := slog.New(slog.DiscardHandler)
	if c.Verbose {
		lg = slog.New(slog.NewTextHandler(c.stderr, nil))
	}
	start := time.Now()
	s, err := startCluster(ctx, lg, sampleEntryCount, sampleTopology())
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	d := &demo{cluster: s, out: &lockedWriter{w: c.stdout}}
	d.printf("%d data centres, %d entry instances, %d engines and %d plain services ready after %.1f s\n",
		len(s.topology.datacentres), len(s.entries), s.topology.engines, s.topology.services, time.Since(start).Seconds())
	d.run(ctx)
	if err := d.writeTimeline(ctx, c.Timeline); err != nil {
		return err
	}
	return d.printSummary(time.Since(start))
}

// demo is one run of the demonstration. It counts its checks, so that the command fails if any check failed.
type demo struct {
	*cluster
	out    io.Writer
	checks checks
}

// run runs the scenarios. All but the change of the preset run concurrently, as the requests of several teams do.
func (d *demo) run(ctx context.Context) {
	var scenarios sync.WaitGroup
	for _, scenario := range []func(context.Context){
		d.reclaimEngineMidStream, d.reclaimEntryMidStream, d.askShortQuestions, d.repeatBooking, d.loseBookingReply,
	} {
		scenarios.Go(func() { scenario(ctx) })
	}
	scenarios.Wait()
	d.switchPreset(ctx)
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// printSummary prints the number of passed and failed checks. Each invariant that an entry instance counted as violated
// is a failed check. It returns an error if a check failed.
func (d *demo) printSummary(elapsed time.Duration) error {
	passed, failed := d.checks.results()
	for _, e := range d.entries {
		for name, n := range e.Violations() {
			failed = append(failed, fmt.Sprintf("%s: invariant %s was violated %d times", e.cfg.Instance, name, n))
		}
	}
	d.printf("\n%d checks passed, %d failed, in %.1f s\n", passed, len(failed), elapsed.Seconds())
	if len(failed) > 0 {
		return fmt.Errorf("the demonstration failed: %v", failed)
	}
	return nil
}

// lockedWriter is an io.Writer that is safe for concurrent use.
type lockedWriter struct {
	mu sync.Mutex // guards w
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// checks counts passed checks and collects the messages of failed ones.
type checks struct {
	mu     sync.Mutex // guards the fields below
	passed int
	failed []string
}

func (c *checks) expect(ok bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.passed++
		return
	}
	c.failed = append(c.failed, fmt.Sprintf(format, args...))
}

func (c *checks) results() (passed int, failed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passed, append([]string(nil), c.failed...)
}
