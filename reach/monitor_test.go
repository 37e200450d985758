package reach

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an instance that is cut off from all endpoints and does not notice, and against one that takes single failures, or
// the failures of one endpoint, for a loss of its own paths.
func TestLost(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name      string
		endpoints int
		heardAt   int
		failures  map[string]int // time of the last failure in ms by endpoint
		now       int
		want      bool
	}{
		{name: "nothing was tried", endpoints: 9, now: 5000},
		{name: "several endpoints failed", endpoints: 9, failures: map[string]int{"a": 300, "b": 300, "c": 400}, now: 400, want: true},
		{name: "one endpoint failed again and again", endpoints: 9, failures: map[string]int{"a": 3000}, now: 4000},
		{name: "one answered meanwhile", endpoints: 9, heardAt: 500, failures: map[string]int{"a": 300, "b": 300, "c": 400}, now: 2000},
		{name: "one answered a moment ago", endpoints: 9, heardAt: 350, failures: map[string]int{"a": 360, "b": 360, "c": 400}, now: 400},
		{name: "all of two endpoints failed", endpoints: 2, failures: map[string]int{"a": 300, "b": 500}, now: 700, want: true},
		{name: "there is no endpoint", failures: map[string]int{"a": 300}, now: 700},
		{name: "the failures are too old", endpoints: 9, failures: map[string]int{"a": 300, "b": 300, "c": 400}, now: 10_400},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := NewMonitor(Config{})
			m.Heard(at(0))
			for endpoint, ms := range test.failures {
				if ms <= test.heardAt {
					m.Failed(at(ms), endpoint)
				}
			}
			m.Heard(at(test.heardAt))
			for endpoint, ms := range test.failures {
				if ms > test.heardAt {
					m.Failed(at(ms), endpoint)
				}
			}
			NewWithT(t).Expect(m.Lost(at(test.now), test.endpoints)).To(Equal(test.want))
		})
	}
}
