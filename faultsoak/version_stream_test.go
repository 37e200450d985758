package faultsoak

import (
	"fmt"
	"strings"
	"time"

	"knapweedhoist/platform/platformtest"
)

// versionEvents is the number of events of a complete stream of a versionRun.
const versionEvents = 16

// versionStream is a stream as its caller got it, over all of its tries.
type versionStream struct {
	name string
	// first is the id of the request that brought the first event.
	first string
	// tries holds what each try brought, for the message of a violation.
	tries []string
	// events is the number of events, version the one that wrote the first.
	events  int
	version string
	// complete is set once a try has ended as complete.
	complete bool
	// violations holds what no stream may do.
	violations []string
}

// add appends the answer to one try and returns the number of events in it.
func (s *versionStream) add(id string, o platformtest.Outcome) int {
	before := s.events
	var versions []string
	for text := range strings.SplitAfterSeq(o.Body, "\n\n") {
		var event, data int
		var version string
		if !strings.HasSuffix(text, "\n\n") {
			break // the caller drops an event that is cut
		}
		if _, err := fmt.Sscanf(text, "id: %d\ndata: event-%d %s\n\n", &event, &data, &version); err != nil || event != data {
			s.violations = append(s.violations, fmt.Sprintf("malformed event %q", text))
			break
		}
		if s.events == 0 {
			s.first, s.version = id, version
		}
		if event != s.events+1 {
			s.violations = append(s.violations, fmt.Sprintf("event %d follows event %d", event, s.events))
		}
		if version != s.version {
			s.violations = append(s.violations, fmt.Sprintf("event %d of version %s in a stream of version %s", event, version, s.version))
		}
		s.events = event
		versions = append(versions, version)
	}
	s.tries = append(s.tries, fmt.Sprintf("%s status %d events %v complete %t", id, o.Status, versions, o.Complete))
	s.complete = o.Status == 200 && o.Complete
	if s.complete && s.events != versionEvents {
		s.violations = append(s.violations, fmt.Sprintf("complete after %d events", s.events))
	}
	return s.events - before
}

// attemptCounts counts attempts in calm seconds.
type attemptCounts struct{ tried, served int }

func (c *attemptCounts) add(served bool) {
	c.tried++
	if served {
		c.served++
	}
}

// share returns the part of the attempts that were served, 1 for none.
func (c *attemptCounts) share() float64 {
	if c.tried == 0 {
		return 1
	}
	return float64(c.served) / float64(c.tried)
}

// takeUpPause is the time between the break of a stream and the next try of its caller.
const takeUpPause = 30 * time.Millisecond
