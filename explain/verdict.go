package explain

import (
	"fmt"
	"strconv"
	"time"
)

// verdict says how a request ended, from its last line and the state before.
func verdict(c Course) string {
	if len(c.Lines) == 0 {
		return "no instance logged the request: it reached none, its line was left out (see lines_left_out), or its " +
			"instance was killed (look for an instance started line with another boot)"
	}
	last := c.Lines[len(c.Lines)-1]
	switch last.Message {
	case "request served", "stream served":
		return fmt.Sprintf("served by %s with status %s after %s ms and %s sends",
			last.Text(endpointField), last.Text("status"), last.Text(durationField), last.Text("sends"))
	case "request refused":
		return fmt.Sprintf("refused with %s, sent to no endpoint: %s%s", last.Text("status"), last.Text("reason"), c.disturbance(last))
	case "request failed", "stream broken off":
		return fmt.Sprintf("failed with %s at %s after %s sends: %s%s",
			last.Text("status"), last.Text(endpointField), last.Text("sends"), last.Text("reason"), c.disturbance(last))
	case "stream abandoned":
		return "the caller left the stream" + c.disturbance(last)
	default:
		return "no line tells the end: the instance ended or the line was left out" + c.disturbance(last)
	}
}

// disturbance names a pause, a stop or a lost dependency of the instance while the request was there.
func (c Course) disturbance(last Line) string {
	taken, _ := strconv.ParseFloat(last.Text(durationField), 64) // a line without the field took no time
	began := last.Time.Add(-time.Duration(taken) * time.Millisecond)
	text := ""
	for _, line := range c.Before {
		if line.Instance != last.Instance {
			continue
		}
		switch line.Message {
		case "instance was paused":
			if line.Time.After(began.Add(-afterMargin)) {
				text += fmt.Sprintf("; the instance was paused for %s ms until %s", line.Text(durationField), line.Time.Format("15:04:05.000"))
			}
		case "instance stopping", "requests cut at the stop":
			text += "; the instance was stopping"
		case "configuration watch lost", "endpoint watch lost":
			text += fmt.Sprintf("; %s since %s (%s)", line.Message, line.Time.Format("15:04:05.000"), line.Text("error"))
		case "endpoint gone":
			text += "; the instance took " + line.Text(endpointField) + " for gone"
		}
	}
	return text
}
