package standin

import (
	"context"
	"time"

	"knapweedhoist/engine"
)

// EngineConfig configures an Engine. A zero field selects its default.
type EngineConfig struct {
	// Clock is the time source. Default WallClock.
	Clock Clock
	// Models are the models loaded initially; if empty, any model is served.
	Models []string
	// PrefillPerSecond is the prefill rate in tokens per second. Default 20000.
	PrefillPerSecond float64
	// PrefillChunk is the maximum number of prefill tokens per step, of prompts and resumed answers. Default 512.
	PrefillChunk int
	// InterToken is the duration of a step with one decoding sequence and no prefill, and
	// InterTokenEach is added for each further one. Default 8 ms and 0.25 ms.
	InterToken     time.Duration
	InterTokenEach time.Duration
	// MaxBatch is the maximum number of running sequences. While that many run, a request is
	// refused when MaxQueue sequences are queued. Default 32 and 128.
	MaxBatch int
	MaxQueue int
	// CacheTokens is the capacity of the prefix cache in tokens. Default 262144.
	CacheTokens int
	// CacheEventLag is the delay of cache events, LoadLag the age of load reports. Default 500 ms and 1 s.
	CacheEventLag time.Duration
	LoadLag       time.Duration
	// KVPerSecond is the rate of KV export and import in tokens per second. Default 100000.
	KVPerSecond float64
	// ChecksFence makes the engine refuse orders with an outdated fencing token.
	ChecksFence bool
	// CommentInterval is the time without a token after which a comment line is sent on a stream. Default 1 s, at most 2 s.
	CommentInterval time.Duration
	// SourceHoldsKV checks that the source of a handle still holds its KV cache. The default calls the source over HTTP.
	SourceHoldsKV func(ctx context.Context, handle engine.KVHandle) error
}

// maxCommentInterval is the longest time that a stream may go without sending a byte.
const maxCommentInterval = 2 * time.Second

func (c EngineConfig) withDefaults() EngineConfig {
	c.Clock = orWallClock(c.Clock)
	c.PrefillPerSecond = orDefault(c.PrefillPerSecond, 20000)
	c.PrefillChunk = orDefault(c.PrefillChunk, 512)
	c.InterToken = orDefault(c.InterToken, 8*time.Millisecond)
	c.InterTokenEach = orDefault(c.InterTokenEach, 250*time.Microsecond)
	c.MaxBatch = orDefault(c.MaxBatch, 32)
	c.MaxQueue = orDefault(c.MaxQueue, 128)
	c.CacheTokens = orDefault(c.CacheTokens, 1<<18)
	c.CacheEventLag = orDefault(c.CacheEventLag, 500*time.Millisecond)
	c.LoadLag = orDefault(c.LoadLag, time.Second)
	c.KVPerSecond = orDefault(c.KVPerSecond, 100000)
	c.CommentInterval = min(orDefault(c.CommentInterval, time.Second), maxCommentInterval)
	if c.SourceHoldsKV == nil {
		c.SourceHoldsKV = sourceHoldsKV
	}
	return c
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
