package explain

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Names of log fields; durationField is in milliseconds.
const (
	idField       = "id"
	endpointField = "endpoint"
	durationField = "ms"
)

// History is the history of one request according to the logs. hoistctl explain prints it as JSON under the names of the
// Go fields.
type History struct {
	ID string
	// Before holds, for each instance that logged the request, the newest state line of each subject up to stateMargin
	// after the last of Lines. Subjects are the configuration, each watch, the relay, each endpoint that Lines name, the quarantine of each key that Lines name, and
	// each other state message by itself.
	Before []Line
	// Lines holds the lines of the request, sorted by time.
	Lines []Line
	// Crashes holds, if the request was refused because of a quarantine, a line of each crash of an endpoint at which its key was in
	// progress, at any instance, sorted by time.
	Crashes []Line
	// Verdict states in one sentence how the request ended and why.
	Verdict string
}

// Collector collects the lines that concern one request. It is not safe for concurrent use.
type Collector struct {
	id           string
	requestLines []Line
	stateLines   []Line
}

// NewCollector returns a Collector for the request with this id.
func NewCollector(id string) *Collector { return &Collector{id: id} }

// Read adds the log of one or more instances. It fails on a read error and on a line above 1 MiB; other text that is not
// a log line is skipped.
func (c *Collector) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := ParseLine(scanner.Bytes())
		switch {
		case !ok:
		case line.Text(idField) == c.id:
			c.requestLines = append(c.requestLines, line)
		case isStateMessage(line.Message):
			c.stateLines = append(c.stateLines, line)
		}
	}
	return scanner.Err()
}

// stateMessages lists the messages that report a change of an instance's state rather than the progress of a request.
var stateMessages = map[string]bool{
	"instance started": true, "instance stopping": true, "instance stopped": true, "instance was paused": true,
	"requests cut at the stop": true, "settings reloaded": true,
	"configuration applied": true, "configuration cannot be decoded": true, "configuration watch lost": true, "configuration watch regained": true,
	"endpoint watch lost": true, "endpoint watch regained": true, "relay lost": true,
	"endpoint changed": true, "endpoint gone": true, "endpoint entry missing after an outage of the store": true,
	"endpoint crashed": true, "endpoint avoided": true, "endpoint used again": true,
	"requests quarantined": true, "quarantine lifted": true, "quarantine expired": true,
}

func isStateMessage(message string) bool { return stateMessages[message] }

// History returns the history of the request. Its Lines are empty if no instance logged the request.
func (c *Collector) History() History {
	sortByTime(c.requestLines)
	history := History{ID: c.id, Lines: c.requestLines}
	if len(c.requestLines) > 0 {
		history.Before = c.newestState()
		history.Crashes = c.crashesOf(history.outcome())
	}
	history.Verdict = verdict(history)
	return history
}

// crashesOf returns the lines of History.Crashes for the line that reports the end of the request.
func (c *Collector) crashesOf(outcome Line) []Line {
	key := outcome.Text("key")
	if key == "" {
		return nil
	}
	first := make(map[string]Line) // by process
	for _, line := range append(slices.Clone(c.stateLines), c.requestLines...) {
		if line.Message != "endpoint crashed" || line.Time.After(outcome.Time) || !concerns(line, key) {
			continue
		}
		process := line.Text("process")
		if known, ok := first[process]; !ok || line.Time.Before(known.Time) {
			first[process] = line
		}
	}
	crashes := slices.Collect(maps.Values(first))
	sortByTime(crashes)
	return crashes
}

// concerns reports whether a line names the key of a quarantine.
func concerns(line Line, key string) bool {
	return line.Text("key") == key || line.Text("fingerprint") == key ||
		slices.Contains(strings.Split(line.Text("parts"), ","), key)
}

// stateMargin extends the period for state lines beyond the request's last line, because a pause is logged only when it
// has ended. A pause is also reported if it was logged up to stateMargin before the request's start.
const stateMargin = 200 * time.Millisecond

// newestState returns the lines of History.Before, sorted by time.
func (c *Collector) newestState() []Line {
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range c.requestLines {
		instances[line.Instance] = true
		endpoints[line.Text(endpointField)] = true
	}
	end := c.requestLines[len(c.requestLines)-1].Time.Add(stateMargin)
	newest := make(map[string]Line)
	for _, line := range c.stateLines {
		endpoint := line.Text(endpointField)
		key := line.Text("key")
		named := func(of Line) bool { return concerns(of, key) }
		if !instances[line.Instance] || line.Time.After(end) || endpoint != "" && !endpoints[endpoint] ||
			key != "" && !slices.ContainsFunc(c.requestLines, named) {
			continue
		}
		subject := line.Instance + "/" + stateSubject(line) + "/" + endpoint + key
		if kept, ok := newest[subject]; !ok || line.Time.After(kept.Time) {
			newest[subject] = line
		}
	}
	lines := make([]Line, 0, len(newest))
	for _, line := range newest {
		lines = append(lines, line)
	}
	sortByTime(lines)
	return lines
}

// subjects maps messages that supersede each other to a common subject, so that only the newest of them is kept.
var subjects = map[string]string{
	"configuration applied": "configuration", "configuration cannot be decoded": "configuration",
	"configuration watch lost": "configuration watch", "configuration watch regained": "configuration watch",
	"endpoint watch lost": "endpoint watch", "endpoint watch regained": "endpoint watch",
	"endpoint avoided": "avoidance", "endpoint used again": "avoidance",
	"requests quarantined": "quarantine", "quarantine lifted": "quarantine", "quarantine expired": "quarantine",
	"endpoint changed": "endpoint", "endpoint gone": "endpoint",
	"endpoint entry missing after an outage of the store": "endpoint",
}

func stateSubject(line Line) string {
	if subject, ok := subjects[line.Message]; ok {
		return subject
	}
	return line.Message
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
}
