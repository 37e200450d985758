package devtool

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedhoist/settings"
)

// loadCommand sends load to the entry daemons of a folder and measures them.
type loadCommand struct {
	Dir     string  `long:"dir" description:"Folder with settings files (entry-N.yaml) and process ids (entry-N.pid)" required:"true" value-name:"DIR"`
	Seconds int     `long:"seconds" description:"Length of the measurement" default:"20" value-name:"S"`
	Rate    float64 `long:"rate" description:"Requests a second over all entry daemons; 0 measures the control cost alone" default:"0" value-name:"R"`
	Tokens  int     `long:"tokens" description:"Tokens of an answer" default:"50" value-name:"N"`
	Header  bool    `long:"header" description:"Print the header of the CSV table first"`

	stdout io.Writer
}

// maxLoadSeconds bounds a run.
const maxLoadSeconds = 300

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	targets, err := findTargets(c.Dir)
	if err != nil {
		return err
	}
	length := time.Duration(min(c.Seconds, maxLoadSeconds)) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), length+startTimeout)
	defer cancel()
	before, err := sampleAll(ctx, targets)
	if err != nil {
		return err
	}
	result := c.send(ctx, targets, length)
	after, err := sampleAll(ctx, targets)
	if err != nil {
		return err
	}
	if c.Header {
		_, _ = fmt.Fprintln(c.stdout, costHeader)
	}
	_, err = fmt.Fprintln(c.stdout, costRow(targets, before, after, length, result))
	return err
}

// target is an entry daemon to be loaded and measured.
type target struct {
	settings settings.Settings
	pid      int
}

func findTargets(dir string) ([]target, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "entry-*.yaml"))
	if err != nil {
		return nil, err
	}
	var targets []target
	for _, path := range paths {
		cfg, err := settings.Load(path)
		if err != nil {
			return nil, err
		}
		pid, err := readPID(path[:len(path)-len("yaml")] + "pid")
		if err != nil {
			return nil, err
		}
		targets = append(targets, target{settings: cfg, pid: pid})
	}
	if len(targets) == 0 {
		return nil, fmt.Errorf("no entry-*.yaml in %s", dir)
	}
	return targets, nil
}

// loadResult is what the callers saw.
type loadResult struct {
	mu         sync.Mutex // guards the fields below
	firstToken *hdrhistogram.Histogram
	sent       int
	failed     int
}

// Histogram of first tokens: 1 µs to 60 s with 3 digits.
func newLoadResult() *loadResult {
	return &loadResult{firstToken: hdrhistogram.New(1, 60_000_000, 3)}
}

// send starts requests at the rate, spread over the targets, and waits for their ends.
func (c *loadCommand) send(ctx context.Context, targets []target, length time.Duration) *loadResult {
	result := newLoadResult()
	if c.Rate <= 0 {
		time.Sleep(length)
		return result
	}
	var inFlight sync.WaitGroup
	end := time.Now().Add(length)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	callers := make([]*caller, len(sampleTeams))
	for i, team := range sampleTeams {
		callers[i] = newCaller(team)
	}
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		address := targets[n%len(targets)].settings.Listen.Callers
		from := callers[n%len(callers)]
		inFlight.Go(func() { c.one(ctx, from, address, n, result) })
	}
	inFlight.Wait()
	return result
}

func (c *loadCommand) one(ctx context.Context, from *caller, address string, n int, result *loadResult) {
	body := promptBody(fmt.Sprintf("Question %d, tokens=%d", n, c.Tokens), c.Tokens)
	got, err := from.complete(ctx, address, body, nil)
	result.mu.Lock()
	defer result.mu.Unlock()
	result.sent++
	if err != nil || got.text() != expected(body) {
		result.failed++
		return
	}
	_ = result.firstToken.RecordValue(got.firstToken.Microseconds())
}
