package dispatch

import (
	"time"

	"knapweedhoist/deployment"
)

// Flight is one request at one endpoint. Its owner calls Begun at the first
// token and Done once at the end.
type Flight struct {
	Endpoint *deployment.Endpoint
	// Cost is what the choice was based on, for the log.
	Cost time.Duration
	// Missing is the expected number of prompt tokens to read.
	Missing int

	table   *Table
	state   *endpointState
	pending int
	done    bool
}

// Begun notes the first token: the prompt is read.
func (f *Flight) Begun() {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.settle()
}

// Done ends the flight.
func (f *Flight) Done(now time.Time, outcome Outcome) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.settle()
	f.state.running--
	switch outcome {
	case Served:
		f.state.failures = 0
	case Shed, Failed, Silent:
		f.state.fail(now)
	}
}

// Report takes in what the endpoint tells of itself.
func (f *Flight) Report(load Load) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.state.load = load
}

func (f *Flight) settle() {
	f.state.pending -= f.pending
	f.pending = 0
}
