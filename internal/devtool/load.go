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

// loadCommand sends load to the entry daemons whose settings files are in a folder, and measures their CPU time,
// memory and control traffic.
type loadCommand struct {
	Dir     string  `long:"dir" description:"Folder with settings files (entry-N.yaml) and process ids (entry-N.pid)" required:"true" value-name:"DIR"`
	Seconds int     `long:"seconds" description:"Length of the measurement in seconds, at most 300" default:"20" value-name:"S"`
	Rate    float64 `long:"rate" description:"Requests per second over all entry daemons; 0 sends none and measures the control traffic alone" default:"0" value-name:"R"`
	Tokens  int     `long:"tokens" description:"Tokens per answer" default:"50" value-name:"N"`
	Header  bool    `long:"header" description:"Print the header of the CSV table first"`

	stdout io.Writer
}

// maxLoadSeconds is the longest measurement.
const maxLoadSeconds = 300

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	targets, err := findTargets(c.Dir)
	if err != nil {
		return err
	}
	length := time.Duration(min(c.Seconds, maxLoadSeconds)) * time.Second
	// startTimeout is added for the requests that are in progress at the end of the measurement.
	ctx, cancel := context.WithTimeout(context.Background(), length+startTimeout)
	defer cancel()
	before, err := measureProcesses(ctx, targets)
	if err != nil {
		return err
	}
	result := c.sendLoad(ctx, targets, length)
	after, err := measureProcesses(ctx, targets)
	if err != nil {
		return err
	}
	if c.Header {
		_, _ = fmt.Fprintln(c.stdout, costHeader)
	}
	_, err = fmt.Fprintln(c.stdout, costRow(targets, before, after, length, result))
	return err
}

// target is an entry daemon that receives load and is measured.
type target struct {
	settings settings.Settings
	pid      int
}

// findTargets reads the settings and process ids of all entry daemons in dir. It fails if there are none.
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

// loadResult holds the numbers of sent and failed requests of a run, and a histogram of the time to the first token, in µs,
// of the others.
type loadResult struct {
	mu               sync.Mutex // guards the fields below
	timeToFirstToken *hdrhistogram.Histogram
	sent             int
	failed           int
}

// newLoadResult returns a result whose histogram covers 1 µs to 60 s with 3 significant digits.
func newLoadResult() *loadResult {
	return &loadResult{timeToFirstToken: hdrhistogram.New(1, 60_000_000, 3)}
}

// sendLoad starts requests at c.Rate for the given length, round-robin over the targets and the teams,
// and waits until all have ended. At a rate of 0 or below it sends none and sleeps for the length.
func (c *loadCommand) sendLoad(ctx context.Context, targets []target, length time.Duration) *loadResult {
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
		sender := callers[n%len(callers)]
		inFlight.Go(func() { c.sendRequest(ctx, sender, address, n, result) })
	}
	inFlight.Wait()
	return result
}

func (c *loadCommand) sendRequest(ctx context.Context, sender *caller, address string, n int, result *loadResult) {
	body := promptBody(fmt.Sprintf("Question %d, tokens=%d", n, c.Tokens), c.Tokens)
	got, err := sender.complete(ctx, address, body, nil)
	result.mu.Lock()
	defer result.mu.Unlock()
	result.sent++
	if err != nil || got.text() != expectedText(body) {
		result.failed++
		return
	}
	_ = result.timeToFirstToken.RecordValue(got.timeToFirstToken.Microseconds())
}
