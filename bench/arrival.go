package bench

import (
	"time"

	"knapweedhoist/routing"
)

// kind classifies a request by its workload: short question, summary, long draft or call of a plain service.
type kind uint8

const (
	kindShort kind = iota
	kindSummary
	kindLong
	kindPlain
	kindCount
)

func (k kind) String() string {
	return [...]string{"short", "summary", "long", "plain"}[k]
}

// deadline is the time after submission within which the caller needs the whole answer.
func (k kind) deadline() time.Duration {
	return [...]time.Duration{10 * time.Second, 30 * time.Second, 60 * time.Second, 5 * time.Second}[k]
}

// arrival is one request of the seeded workload. All variants receive the same arrivals.
type arrival struct {
	// at is the time since the start of the scenario.
	at   time.Duration
	kind kind
	team string
	// entry is the index of the entry instance that receives the request.
	entry        int
	promptTokens int
	decodeTokens int
	maxTokens    int
	prefixes     []routing.Prefix
}
