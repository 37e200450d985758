package enginemodel

import (
	"math"
	"sync"
	"time"
)

const (
	// memory is the time constant with which earlier answers lose their weight.
	memory = 20 * time.Second
	// maxRatio bounds the time that an answer counts with, as a multiple of the expected one: engines that stand still for
	// a moment must not look slow.
	maxRatio = 2.0
	// settledCount is the number of answers after which maxRatio applies.
	settledCount = 40
	// minPrefixTokens is the shortest prefix whose presence in a cache the time to the first token shows.
	minPrefixTokens = 2000
)

// Answer is the observation of one answer's first token.
type Answer struct {
	// Tokens is the number of tokens that the engine had to prefill first, those of earlier requests included, without
	// PrefixTokens.
	Tokens int
	// PrefixTokens is the length of the shared prefix if it is not known whether it was in the engine's cache.
	PrefixTokens int
	// Elapsed is the time from the request to the first token.
	Elapsed time.Duration
}

// Learner learns the engines of each service from this instance's answers and those that the other instances report.
type Learner struct {
	mu       sync.Mutex // guards services
	services map[string]*serviceSamples
}

// serviceSamples holds the samples of one service: own up to updatedAt, and those of the others. engine is the estimate.
type serviceSamples struct {
	own, others Samples
	updatedAt   time.Time
	engine      Engine
}

// NewLearner returns a Learner without answers.
func NewLearner() *Learner { return &Learner{services: make(map[string]*serviceSamples)} }

// Engine returns the estimate for a service.
func (l *Learner) Engine(service string) Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service(service).engine
}

// Observe counts an answer.
func (l *Learner) Observe(now time.Time, service string, answer Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(service)
	s.decay(now)
	s.observe(answer)
	s.engine = Estimate(s.own.Plus(s.others))
}

// ObserveEnd counts a request that ended after the given time at its endpoint.
func (l *Learner) ObserveEnd(now time.Time, service string, residence time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(service)
	s.decay(now)
	s.own.Ended++
	s.own.Residence += residence.Seconds()
	s.engine = Estimate(s.own.Plus(s.others))
}

// Own returns the samples of this instance, for its reports.
func (l *Learner) Own(now time.Time) map[string]Samples {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[string]Samples, len(l.services))
	for name, s := range l.services {
		s.decay(now)
		own[name] = s.own
	}
	return own
}

// SetOthers replaces the samples of the other instances.
func (l *Learner) SetOthers(others map[string]Samples) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, samples := range others {
		s := l.service(name)
		s.others = samples
		s.engine = Estimate(s.own.Plus(s.others))
	}
}

// service returns the samples of a service, which it creates if necessary. The caller holds l.mu.
func (l *Learner) service(name string) *serviceSamples {
	s := l.services[name]
	if s == nil {
		s = &serviceSamples{engine: Estimate(Samples{})}
		l.services[name] = s
	}
	return s
}

// decay lowers the weight of the own samples by the time since the last update.
func (s *serviceSamples) decay(now time.Time) {
	if elapsed := now.Sub(s.updatedAt); !s.updatedAt.IsZero() && elapsed > 0 {
		s.own = s.own.Times(math.Exp(-elapsed.Seconds() / memory.Seconds()))
	}
	s.updatedAt = now
}

// observe counts an answer in the own samples.
func (s *serviceSamples) observe(answer Answer) {
	ms := float64(answer.Elapsed) / float64(time.Millisecond)
	tokens := float64(answer.Tokens)
	if answer.PrefixTokens >= minPrefixTokens {
		s.own.Unknown++
		s.own.Missing += s.engine.missing(tokens, float64(answer.PrefixTokens), ms)
		return
	}
	if s.own.Count+s.others.Count >= settledCount {
		expected := float64(s.engine.TimeToFirstToken(tokens)) / float64(time.Millisecond)
		ms = min(ms, maxRatio*expected)
	}
	s.own.add(tokens, ms)
}

// missing returns, from 0 to 1, how far the time to the first token speaks for a prefix that was not in the cache.
func (e Engine) missing(tokens, prefix, ms float64) float64 {
	cached := float64(e.TimeToFirstToken(tokens)) / float64(time.Millisecond)
	return min(max((ms-cached)/(prefix/e.PrefillRate), 0), 1)
}
