package bench

import (
	"sort"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// server is a fake endpoint with continuous batching, chunked prefill,
// priorities, limited slots and KV memory, and a prefix cache. A server of a
// plain service runs jobs that have no prompt and decode one token.
type server struct {
	loop        *loop
	endpoint    routing.Endpoint
	profile     routing.Profile
	chunkTokens int
	kvLimit     int
	cache       *prefixCache

	queue   []*job
	running []*job
	kvUsed  int
	busy    bool
	// slowdown multiplies the duration of every iteration; 1 is normal speed.
	slowdown float64
	leaving  bool
	stopped  bool

	// prefilled, generated and recomputed count tokens.
	prefilled  int64
	generated  int64
	recomputed int64
	// recomputedOnResume is the part of recomputed that resumed attempts caused.
	recomputedOnResume int64
	busyTime           time.Duration
}

// Limits of the fake servers, in tokens.
const (
	prefillChunkTokens = 256
	kvLimitTokens      = 160_000
	cacheLimitTokens   = 240_000
)

func newServer(l *loop, endpoint routing.Endpoint) *server {
	return &server{
		loop: l, endpoint: endpoint, profile: endpoint.Profile, chunkTokens: prefillChunkTokens, kvLimit: kvLimitTokens,
		cache: newPrefixCache(cacheLimitTokens), slowdown: 1,
	}
}

// submit queues a job. A stopped server calls onInterrupted at once instead.
func (s *server) submit(j *job) {
	if s.stopped {
		j.onInterrupted(j)
		return
	}
	j.arrived = s.loop.now
	s.queue = append(s.queue, j)
	if !s.busy {
		s.runIteration()
	}
}

// runIteration starts one iteration of the batch and schedules the next one, until no job is left or the server stops.
func (s *server) runIteration() {
	s.fillBatch()
	if len(s.running) == 0 || s.stopped {
		s.busy = false
		return
	}
	s.busy = true
	prefill := s.prefill()
	decoding := s.decodingJobs()
	duration := s.profile.StepBase + time.Duration(len(decoding))*s.profile.StepPerSequence +
		time.Duration(float64(prefill)/s.profile.PrefillPerSecond*float64(time.Second))
	duration = time.Duration(float64(duration) * s.slowdown)
	s.busyTime += duration
	s.loop.schedule(duration, func() {
		if s.stopped {
			return
		}
		s.emitTokens(decoding)
		s.runIteration()
	})
}

// fillBatch moves queued jobs into the batch by priority, then in order of arrival, while slots and KV memory last.
// An empty batch takes a job even if the job exceeds the KV memory.
func (s *server) fillBatch() {
	s.dropCancelled()
	sort.SliceStable(s.queue, func(i, k int) bool { return s.queue[i].priority > s.queue[k].priority })
	for len(s.queue) > 0 && len(s.running) < s.profile.Slots {
		j := s.queue[0]
		if len(s.running) > 0 && s.kvUsed+j.kv() > s.kvLimit {
			return
		}
		s.queue = s.queue[1:]
		s.addToBatch(j)
	}
}

func (s *server) addToBatch(j *job) {
	cached := max(j.imported, s.cache.lookup(j.prefixes))
	j.prefillRemaining = max(0, j.promptTokens-cached)
	j.decodeRemaining = j.decodeTokens
	s.prefilled += int64(j.prefillRemaining)
	recomputed := int64(max(0, min(j.computedBefore, j.promptTokens)-cached))
	s.recomputed += recomputed
	if j.resumed {
		s.recomputedOnResume += recomputed
	}
	s.kvUsed += j.kv()
	s.running = append(s.running, j)
}

func (s *server) dropCancelled() {
	filter := func(list []*job, releaseKV bool) []*job {
		kept := list[:0]
		for _, j := range list {
			switch {
			case !j.cancelled:
				kept = append(kept, j)
			case releaseKV:
				s.kvUsed -= j.kv()
			}
		}
		return kept
	}
	s.queue = filter(s.queue, false)
	s.running = filter(s.running, true)
}

// prefill processes up to one chunk of the running jobs' prompt tokens, by priority, and returns the number processed.
func (s *server) prefill() int {
	remaining := s.chunkTokens
	for _, priority := range []engine.Priority{engine.PriorityShort, engine.PriorityLong} {
		for _, j := range s.running {
			if j.priority != priority || j.prefillRemaining == 0 || remaining == 0 {
				continue
			}
			n := min(remaining, j.prefillRemaining)
			j.prefillRemaining -= n
			remaining -= n
		}
	}
	return s.chunkTokens - remaining
}

// decodingJobs returns the running jobs that have completed prefill and produce a token in this iteration.
func (s *server) decodingJobs() []*job {
	var list []*job
	for _, j := range s.running {
		if j.prefillRemaining == 0 {
			list = append(list, j)
		}
	}
	return list
}

// emitTokens emits one token of each decoding job and removes the finished jobs from the batch.
func (s *server) emitTokens(decoding []*job) {
	for _, j := range decoding {
		if j.cancelled {
			continue
		}
		j.decodeRemaining--
		s.generated++
		j.onToken(j.decodeRemaining == j.decodeTokens-1)
	}
	kept := s.running[:0]
	var finished []*job
	for _, j := range s.running {
		if j.decodeRemaining > 0 || j.cancelled {
			kept = append(kept, j)
			continue
		}
		s.kvUsed -= j.kv()
		s.cache.insert(j.prefixes)
		finished = append(finished, j)
	}
	s.running = kept
	for _, j := range finished {
		j.onDone()
	}
}

// stop stops the server and calls onInterrupted for its running and queued jobs, except cancelled ones.
func (s *server) stop() {
	s.stopped = true
	jobs := append(append([]*job{}, s.running...), s.queue...)
	s.running, s.queue = nil, nil
	for _, j := range jobs {
		if !j.cancelled {
			j.onInterrupted(j)
		}
	}
}

// loadReport returns the server's current load. Entry instances receive it after the scenario's report lag.
func (s *server) loadReport() engine.LoadReport {
	r := engine.LoadReport{AtMs: s.loop.now.UnixMilli(), Running: len(s.running), Queued: len(s.queue)}
	for _, j := range s.running {
		r.PrefillTokens += j.prefillRemaining
		r.DecodeTokens += j.decodeRemaining
	}
	for _, j := range s.queue {
		r.PrefillTokens += j.promptTokens
		r.DecodeTokens += j.decodeTokens
	}
	return r
}
