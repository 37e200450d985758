package explain

import (
	"bufio"
	"io"
	"sort"
	"time"
)

// maxLineBytes bounds one line; a longer one is an error.
const maxLineBytes = 1 << 20

// Names of fields that tie lines together.
const (
	idField       = "id"
	endpointField = "endpoint"
	durationField = "ms"
)

// Course is what the logs say of one request.
type Course struct {
	ID string
	// Before are the newest lines of each kind, before the request's end, that tell what its instances believed:
	// configuration, dependencies, life of the process, and the endpoints that the request was sent to.
	Before []Line
	// Lines are the request's own, in order of time.
	Lines []Line
	// Verdict says how the request ended and why, in one sentence.
	Verdict string
}

// Log collects lines. One goroutine uses it.
type Log struct {
	id    string
	own   []Line
	state []Line
}

// NewLog returns a Log that looks for one request.
func NewLog(id string) *Log { return &Log{id: id} }

// Read takes in the log of one or more instances.
func (l *Log) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := ParseLine(scanner.Bytes())
		switch {
		case !ok:
		case line.Text(idField) == l.id:
			l.own = append(l.own, line)
		case tellsState(line.Message):
			l.state = append(l.state, line)
		}
	}
	return scanner.Err()
}

// stateMessages are the messages that tell what an instance believes, without requests.
var stateMessages = map[string]bool{
	"instance started": true, "instance stopping": true, "instance stopped": true, "instance was paused": true,
	"requests cut at the stop": true, "settings reloaded": true,
	"configuration applied": true, "configuration watch lost": true, "configuration watch regained": true,
	"endpoint watch lost": true, "endpoint watch regained": true, "relay lost": true,
	"endpoint changed": true, "endpoint gone": true, "endpoint entry missing after an outage of the store": true,
}

func tellsState(message string) bool { return stateMessages[message] }

// Course returns the course of the request. Its Lines are empty when no instance logged it.
func (l *Log) Course() Course {
	sortByTime(l.own)
	course := Course{ID: l.id, Lines: l.own}
	if len(l.own) > 0 {
		course.Before = l.before()
	}
	course.Verdict = verdict(course)
	return course
}

// afterMargin is how long after the request's last line the state counts too: a pause is logged when it is over.
const afterMargin = 200 * time.Millisecond

// before returns the newest line of each subject at the request's instances.
func (l *Log) before() []Line {
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range l.own {
		instances[line.Instance] = true
		endpoints[line.Text(endpointField)] = true
	}
	end := l.own[len(l.own)-1].Time.Add(afterMargin)
	newest := make(map[string]Line)
	for _, line := range l.state {
		endpoint := line.Text(endpointField)
		if !instances[line.Instance] || line.Time.After(end) || endpoint != "" && !endpoints[endpoint] {
			continue
		}
		subject := line.Instance + "/" + subjectOf(line) + "/" + endpoint
		if known, ok := newest[subject]; !ok || line.Time.After(known.Time) {
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

// subjects groups the messages of which only the newest counts.
var subjects = map[string]string{
	"configuration watch lost": "configuration watch", "configuration watch regained": "configuration watch",
	"endpoint watch lost": "endpoint watch", "endpoint watch regained": "endpoint watch",
	"endpoint changed": "endpoint", "endpoint gone": "endpoint",
	"endpoint entry missing after an outage of the store": "endpoint",
}

func subjectOf(line Line) string {
	if subject, ok := subjects[line.Message]; ok {
		return subject
	}
	return line.Message
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
}
