package admission

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Estimator predicts the length of answers from the prompt size, the caller's
// limit and the past answers of the team's calls of similar prompt size. It is
// safe for concurrent use; an estimate reads atomics under a shared lock.
//
// State: promptBuckets times 8 bytes for each team and service (about 200
// bytes with the key), at most maxHistories of them.
type Estimator struct {
	shortTokens int

	mu        sync.RWMutex // guards the map
	histories map[historyKey]*lengths
}

type historyKey struct{ service, team string }

// lengths holds, by prompt size bucket, the expected answer length in 1/256 tokens; 0 means no observation.
type lengths [promptBuckets]atomic.Int64

const (
	// promptBuckets are powers of two of the prompt size.
	promptBuckets = 18
	// maxHistories bounds the map; teams beyond it use the defaults.
	maxHistories = 10000
	// defaultDecode is the expected answer without any observation, when the caller sets no limit.
	defaultDecode = 256
	// lengthScale and lengthShift give the fixed-point scale and the weight (1/8) of a new observation.
	lengthScale = 256
	lengthShift = 3
)

// NewEstimator returns an Estimator that counts work up to cfg.ShortTokens as short.
func NewEstimator(cfg Config) *Estimator {
	return &Estimator{shortTokens: cfg.ShortTokens, histories: make(map[historyKey]*lengths)}
}

// Estimate returns the expected work. maxTokens is the caller's limit, 0 for none.
func (e *Estimator) Estimate(service, team string, promptTokens, maxTokens int) Estimate {
	decode := e.expected(service, team, promptTokens)
	if decode == 0 {
		decode = defaultDecode
	}
	if maxTokens > 0 {
		decode = min(decode, maxTokens)
	}
	class := ClassLong
	if promptTokens+decode <= e.shortTokens {
		class = ClassShort
	}
	return Estimate{Class: class, Priority: class.Priority(), PromptTokens: promptTokens, DecodeTokens: max(1, decode)}
}

func (e *Estimator) expected(service, team string, promptTokens int) int {
	e.mu.RLock()
	h := e.histories[historyKey{service, team}]
	e.mu.RUnlock()
	if h == nil {
		return 0
	}
	return int(h[bucket(promptTokens)].Load() / lengthScale)
}

// Observe records the length of a finished answer.
func (e *Estimator) Observe(service, team string, promptTokens, decodeTokens int) {
	h := e.history(historyKey{service, team})
	if h == nil {
		return
	}
	cell := &h[bucket(promptTokens)]
	old := cell.Load()
	value := int64(decodeTokens) * lengthScale
	if old != 0 {
		value = old + (value-old)>>lengthShift
	}
	// A lost race drops one observation.
	cell.CompareAndSwap(old, max(1, value))
}

func (e *Estimator) history(key historyKey) *lengths {
	e.mu.RLock()
	h := e.histories[key]
	e.mu.RUnlock()
	if h != nil {
		return h
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.histories[key] == nil && len(e.histories) < maxHistories {
		e.histories[key] = &lengths{}
	}
	return e.histories[key]
}

func bucket(promptTokens int) int {
	return min(promptBuckets-1, bits.Len(uint(max(0, promptTokens))))
}
