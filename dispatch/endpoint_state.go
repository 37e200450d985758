package dispatch

import "time"

// endpointState is what the table knows of one endpoint. Table.mu guards it.
type endpointState struct {
	// running and pending are this instance's requests there, and the tokens of those without a first token yet.
	running int
	pending int
	// peerRunning and peerPending are the same of the other instances.
	peerRunning, peerPending int
	load                     Load
	failures                 int
	failedAt                 time.Time
	cached                   map[uint64]time.Time
	usedAt                   time.Time
}

// loadMemory is how long a reported slowness counts: it changes many times a second.
const loadMemory = 500 * time.Millisecond

func (s *endpointState) slowness(now time.Time) float64 {
	if s.load.Slowness <= 0 || now.Sub(s.load.At) > loadMemory {
		return 1
	}
	return s.load.Slowness
}

// penalty is the cost of recent failures.
func (s *endpointState) penalty(now time.Time, cfg Config) time.Duration {
	if s.failures == 0 {
		return 0
	}
	step := min(s.failures-1, maxFailureSteps)
	if now.Sub(s.failedAt) > cfg.FailureMemory<<step {
		return 0
	}
	return cfg.FailurePenalty << step
}

func (s *endpointState) fail(now time.Time) {
	s.failures++
	s.failedAt = now
}

// missing returns the tokens of the prompt that the endpoint has to read.
func (s *endpointState) missing(now time.Time, query Query, memory time.Duration) int {
	missing := query.Tokens
	for _, part := range query.Prompt {
		used, ok := s.cached[part.ID]
		if !ok || now.Sub(used) > memory {
			break
		}
		missing -= part.Tokens
	}
	return max(missing, 0)
}

// remember notes the parts of a prompt that the endpoint reads.
func (s *endpointState) remember(now time.Time, prompt []Part) {
	if s.cached == nil {
		s.cached = make(map[uint64]time.Time)
	}
	for _, part := range prompt {
		s.cached[part.ID] = now
	}
}
