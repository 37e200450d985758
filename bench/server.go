package bench

import (
	"sort"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/routing"
)

// server is a fake endpoint: continuous batching with chunked prefill,
// priorities, limited slots and KV memory, and a prefix cache. A plain service
// is a server whose jobs have no prompt and one token.
type server struct {
	loop     *loop
	endpoint routing.Endpoint
	profile  routing.Profile
	chunk    int
	kvLimit  int
	cache    *prefixCache

	queue   []*job
	running []*job
	kvUsed  int
	busy    bool
	// slow multiplies the time of every step.
	slow    float64
	leaving bool
	down    bool

	prefilled  int64
	generated  int64
	recomputed int64
	// rerun is the part of recomputed that belongs to resumed attempts.
	rerun    int64
	busyTime time.Duration
}

// Limits of the fake servers.
const (
	prefillChunk = 256
	kvTokens     = 160_000
	cacheTokens  = 240_000
)

func newServer(l *loop, endpoint routing.Endpoint) *server {
	return &server{
		loop: l, endpoint: endpoint, profile: endpoint.Profile, chunk: prefillChunk, kvLimit: kvTokens,
		cache: newPrefixCache(cacheTokens), slow: 1,
	}
}

// submit queues a job. A server that is down cuts it at once.
func (s *server) submit(j *job) {
	if s.down {
		j.cut(j)
		return
	}
	j.arrived = s.loop.now
	s.queue = append(s.queue, j)
	if !s.busy {
		s.step()
	}
}

// step starts one iteration of the batch.
func (s *server) step() {
	s.admit()
	if len(s.running) == 0 || s.down {
		s.busy = false
		return
	}
	s.busy = true
	prefill := s.prefill()
	decoding := s.decoding()
	took := s.profile.StepBase + time.Duration(len(decoding))*s.profile.StepPerSequence +
		time.Duration(float64(prefill)/s.profile.PrefillPerSecond*float64(time.Second))
	took = time.Duration(float64(took) * s.slow)
	s.busyTime += took
	s.loop.after(took, func() {
		if s.down {
			return
		}
		s.emit(decoding)
		s.step()
	})
}

// admit moves queued jobs into the batch, by priority, then in order of arrival.
func (s *server) admit() {
	s.dropCancelled()
	sort.SliceStable(s.queue, func(i, k int) bool { return s.queue[i].priority > s.queue[k].priority })
	for len(s.queue) > 0 && len(s.running) < s.profile.Slots {
		j := s.queue[0]
		if len(s.running) > 0 && s.kvUsed+j.kv() > s.kvLimit {
			return
		}
		s.queue = s.queue[1:]
		s.start(j)
	}
}

func (s *server) start(j *job) {
	cached := max(j.imported, s.cache.lookup(j.prefixes))
	j.prefillLeft = max(0, j.prompt-cached)
	j.decodeLeft = j.decode
	s.prefilled += int64(j.prefillLeft)
	again := int64(max(0, min(j.known, j.prompt)-cached))
	s.recomputed += again
	if j.resumed {
		s.rerun += again
	}
	s.kvUsed += j.kv()
	s.running = append(s.running, j)
}

func (s *server) dropCancelled() {
	keep := func(list []*job, free bool) []*job {
		kept := list[:0]
		for _, j := range list {
			switch {
			case !j.cancelled:
				kept = append(kept, j)
			case free:
				s.kvUsed -= j.kv()
			}
		}
		return kept
	}
	s.queue = keep(s.queue, false)
	s.running = keep(s.running, true)
}

// prefill spends one chunk of prompt tokens on the running jobs, by priority, and returns the tokens spent.
func (s *server) prefill() int {
	left := s.chunk
	for _, priority := range []engine.Priority{engine.PriorityShort, engine.PriorityLong} {
		for _, j := range s.running {
			if j.priority != priority || j.prefillLeft == 0 || left == 0 {
				continue
			}
			n := min(left, j.prefillLeft)
			j.prefillLeft -= n
			left -= n
		}
	}
	return s.chunk - left
}

// decoding are the jobs that produce a token in this step.
func (s *server) decoding() []*job {
	var list []*job
	for _, j := range s.running {
		if j.prefillLeft == 0 {
			list = append(list, j)
		}
	}
	return list
}

// emit delivers one token of each decoding job and removes the finished ones.
func (s *server) emit(decoding []*job) {
	for _, j := range decoding {
		if j.cancelled {
			continue
		}
		j.decodeLeft--
		s.generated++
		j.token(j.decodeLeft == j.decode-1)
	}
	kept := s.running[:0]
	var finished []*job
	for _, j := range s.running {
		if j.decodeLeft > 0 || j.cancelled {
			kept = append(kept, j)
			continue
		}
		s.kvUsed -= j.kv()
		s.cache.insert(j.prefixes)
		finished = append(finished, j)
	}
	s.running = kept
	for _, j := range finished {
		j.done()
	}
}

// stop ends the server and cuts its jobs.
func (s *server) stop() {
	s.down = true
	jobs := append(append([]*job{}, s.running...), s.queue...)
	s.running, s.queue = nil, nil
	for _, j := range jobs {
		if !j.cancelled {
			j.cut(j)
		}
	}
}

// report is the server's load now; it reaches the entry instances late.
func (s *server) report() engine.LoadReport {
	r := engine.LoadReport{AtMs: s.loop.now.UnixMilli(), Running: len(s.running), Queued: len(s.queue)}
	for _, j := range s.running {
		r.PrefillTokens += j.prefillLeft
		r.DecodeTokens += j.decodeLeft
	}
	for _, j := range s.queue {
		r.PrefillTokens += j.prompt
		r.DecodeTokens += j.decode
	}
	return r
}
