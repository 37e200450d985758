package explain

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// outcomes lists the messages that report the end of a request.
var outcomes = map[string]bool{
	"request served": true, "stream served": true, "request refused": true, "request failed": true, "stream broken off": true,
	"stream abandoned": true,
}

// outcome returns the last line that reports the end of the request, or the last line if there is none. Findings about its
// endpoint may be logged later.
func (h History) outcome() Line {
	for _, line := range slices.Backward(h.Lines) {
		if outcomes[line.Message] {
			return line
		}
	}
	return h.Lines[len(h.Lines)-1]
}

// verdict describes how a request ended, based on its last line and the state lines.
func verdict(h History) string { return h.ending() + h.crashNotes() }

// crashNotes describes the crashes on which the refusal of the request rests. It returns "" if it was not refused because of them.
func (h History) crashNotes() string {
	if len(h.Crashes) == 0 {
		return ""
	}
	last := h.Crashes[len(h.Crashes)-1]
	return fmt.Sprintf("; the refusal rests on %d crashes of endpoints from %s to %s, the last that of %s with request %s in progress",
		len(h.Crashes), h.Crashes[0].Time.Format(clockFormat), last.Time.Format(clockFormat), last.Text(endpointField), last.Text(idField))
}

// clockFormat is the time of day in a verdict.
const clockFormat = "15:04:05.000"

// ending describes how the request ended.
func (h History) ending() string {
	if len(h.Lines) == 0 {
		return "no instance logged the request: it reached none, its line was dropped from the log (see lines_left_out), or its " +
			"instance was killed (look for an instance started line with a different boot)"
	}
	last := h.outcome()
	switch last.Message {
	case "request served", "stream served":
		return fmt.Sprintf("served by %s with status %s after %s ms and %s sends",
			last.Text(endpointField), last.Text("status"), last.Text(durationField), last.Text("sends"))
	case "request refused":
		return fmt.Sprintf("refused with %s, sent to no endpoint: %s%s", last.Text("status"), last.Text("reason"), h.stateNotes(last))
	case "request failed", "stream broken off":
		return fmt.Sprintf("failed with %s at %s after %s sends: %s%s",
			last.Text("status"), last.Text(endpointField), last.Text("sends"), last.Text("reason"), h.stateNotes(last))
	case "stream abandoned":
		return "the caller closed the stream" + h.stateNotes(last)
	default:
		return "no line reports the end of the request: the instance ended or the line was dropped from the log" + h.stateNotes(last)
	}
}

// stateNotes describes the state lines of the instance that logged last: a pause during the request, a stop, a lost
// watch and endpoints that were gone. It returns "" if there are none.
func (h History) stateNotes(last Line) string {
	durationMS, _ := strconv.ParseFloat(last.Text(durationField), 64) // 0 if the line lacks the field
	started := last.Time.Add(-time.Duration(durationMS) * time.Millisecond)
	text := ""
	for _, line := range h.Before {
		if line.Instance != last.Instance {
			continue
		}
		switch line.Message {
		case "instance was paused":
			if line.Time.After(started.Add(-stateMargin)) {
				text += fmt.Sprintf("; the instance was paused for %s ms until %s", line.Text(durationField), line.Time.Format(clockFormat))
			}
		case "instance stopping", "requests cut at the stop":
			text += "; the instance was stopping"
		case "configuration watch lost", "endpoint watch lost":
			text += fmt.Sprintf("; %s since %s (%s)", line.Message, line.Time.Format(clockFormat), line.Text("error"))
		case "configuration cannot be decoded":
			text += fmt.Sprintf("; configuration %s was refused and %s stayed in force", line.Text("version"), line.Text("in_force"))
		case "requests quarantined":
			text += "; the instance refused requests with the " + line.Text("kind") + " " + line.Text("key")
		case "endpoint gone":
			text += "; the instance considered endpoint " + line.Text(endpointField) + " gone"
		}
	}
	return text
}
