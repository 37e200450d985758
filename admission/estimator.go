package admission

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

// Estimator predicts the output length of a request from the prompt length, the
// caller's limit and the output lengths of the team's past requests of similar
// prompt length. It is safe for concurrent use; Estimate takes only a read lock
// and loads one atomic.
//
// State: promptBuckets times 8 bytes for each pair of team and service (about
// 200 bytes with the key), at most maxHistories pairs.
type Estimator struct {
	shortTokens int

	mu        sync.RWMutex // guards the map, not the atomics in its values
	histories map[historyKey]*lengthHistory
}

type historyKey struct{ service, team string }

// lengthHistory holds the moving average of the output length for each prompt length bucket, in 1/lengthScale tokens. 0
// means no observation.
type lengthHistory [promptBuckets]atomic.Int64

const (
	// promptBuckets is the number of prompt length buckets. Their bounds are powers of two.
	promptBuckets = 18
	// maxHistories bounds Estimator.histories; further pairs of team and service use defaultOutputTokens.
	maxHistories = 10000
	// defaultOutputTokens is the expected output length without an observation, unless the caller's limit is lower.
	defaultOutputTokens = 256
	// lengthScale is the fixed-point scale of the moving averages.
	lengthScale = 256
	// smoothingShift gives a new observation the weight 1/8 in the moving average.
	smoothingShift = 3
)

// NewEstimator returns an Estimator that assigns requests of up to cfg.ShortTokens tokens to the short class.
func NewEstimator(cfg Config) *Estimator {
	return &Estimator{shortTokens: cfg.ShortTokens, histories: make(map[historyKey]*lengthHistory)}
}

// Estimate returns the expected size and the class of a request. maxTokens is the caller's limit on the output length,
// 0 for none.
func (e *Estimator) Estimate(service, team string, promptTokens, maxTokens int) Estimate {
	output := e.averageOutputTokens(service, team, promptTokens)
	if output == 0 {
		output = defaultOutputTokens
	}
	if maxTokens > 0 {
		output = min(output, maxTokens)
	}
	class := ClassLong
	if promptTokens+output <= e.shortTokens {
		class = ClassShort
	}
	return Estimate{Class: class, Priority: class.Priority(), PromptTokens: promptTokens, OutputTokens: max(1, output)}
}

// averageOutputTokens returns the moving average of the output length, rounded down, or 0 without an observation.
func (e *Estimator) averageOutputTokens(service, team string, promptTokens int) int {
	e.mu.RLock()
	history := e.histories[historyKey{service, team}]
	e.mu.RUnlock()
	if history == nil {
		return 0
	}
	return int(history[promptBucket(promptTokens)].Load() / lengthScale)
}

// Observe adds the output length of a finished request to the moving average.
func (e *Estimator) Observe(service, team string, promptTokens, outputTokens int) {
	history := e.history(historyKey{service, team})
	if history == nil {
		return
	}
	average := &history[promptBucket(promptTokens)]
	previous := average.Load()
	updated := int64(outputTokens) * lengthScale
	if previous != 0 {
		updated = previous + (updated-previous)>>smoothingShift
	}
	// When a concurrent call wins the race, this observation is dropped.
	average.CompareAndSwap(previous, max(1, updated))
}

// history returns the history of a pair of team and service, which it creates if necessary. It returns nil when
// maxHistories pairs exist already.
func (e *Estimator) history(key historyKey) *lengthHistory {
	e.mu.RLock()
	history := e.histories[key]
	e.mu.RUnlock()
	if history != nil {
		return history
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.histories[key] == nil && len(e.histories) < maxHistories {
		e.histories[key] = &lengthHistory{}
	}
	return e.histories[key]
}

// promptBucket returns the index of the bucket of a prompt length.
func promptBucket(promptTokens int) int {
	return min(promptBuckets-1, bits.Len(uint(max(0, promptTokens))))
}
