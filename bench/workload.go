package bench

import (
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/routing"
)

// stream is a Poisson process of arrivals of one kind.
type stream struct {
	kind kind
	// rate is the number of requests per second of all teams together.
	rate float64
	// from and until bound the stream in time. If until is 0, the stream lasts until the end of the scenario.
	from, until time.Duration
}

// workload describes how the arrivals of a scenario are generated.
type workload struct {
	streams []stream
	// teamWeights are the relative weights of the teams in the arrivals, in any scale.
	teamWeights []teamWeight
	// entryShares are the entry instances' fractions of the arrivals, which sum to 1; nil distributes them evenly.
	entryShares []float64
	// teamsHaveEntry sends on average 80% of the arrivals of team i to entry instance i; entryShares distribute the rest.
	teamsHaveEntry bool
}

type teamWeight struct {
	name   string
	weight float64
}

// ordinaryTeamWeights are the weights of five teams, two of them large. They sum to 1, since unevenLimits uses them as
// fractions.
var ordinaryTeamWeights = []teamWeight{{"north", 0.35}, {"south", 0.30}, {"east", 0.15}, {"west", 0.12}, {"hill", 0.08}}

// ordinaryStreams returns the streams of an ordinary day. Scale 1 is six model calls per second per engine with ten
// engines, about half their capacity.
func ordinaryStreams(scale float64) []stream {
	return []stream{
		{kind: kindShort, rate: 48 * scale},
		{kind: kindSummary, rate: 5 * scale},
		{kind: kindLong, rate: 7.5 * scale},
		{kind: kindPlain, rate: 140 * scale},
	}
}

// generate draws the arrivals of all streams and returns them in order of time.
func (w workload) generate(rng *rand.Rand, length time.Duration) []arrival {
	var list []arrival
	for _, s := range w.streams {
		until := s.until
		if until == 0 {
			until = length
		}
		for at := s.from + exponentialGap(rng, s.rate); at < until; at += exponentialGap(rng, s.rate) {
			list = append(list, w.drawArrival(rng, at, s.kind))
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

func exponentialGap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func (w workload) drawArrival(rng *rand.Rand, at time.Duration, k kind) arrival {
	a := arrival{at: at, kind: k, entry: w.drawEntry(rng)}
	teamIndex := w.drawTeam(rng)
	a.team = w.teamWeights[teamIndex].name
	if w.teamsHaveEntry && rng.Float64() < 0.8 {
		a.entry = teamIndex
	}
	a.drawSize(rng)
	return a
}

func (w workload) drawTeam(rng *rand.Rand) int {
	var total float64
	for _, t := range w.teamWeights {
		total += t.weight
	}
	x := rng.Float64() * total
	for i, t := range w.teamWeights {
		if x -= t.weight; x < 0 {
			return i
		}
	}
	return len(w.teamWeights) - 1
}

func (w workload) drawEntry(rng *rand.Rand) int {
	if w.entryShares == nil {
		return rng.Intn(entryCount)
	}
	x := rng.Float64()
	for i, share := range w.entryShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return entryCount - 1
}

// sessionsPerTeam is the number of chat sessions per team; each request of kindLong belongs to one of them.
const sessionsPerTeam = 40

// drawSize draws the sizes of prompt and answer in tokens, and for kindLong the session.
func (a *arrival) drawSize(rng *rand.Rand) {
	switch a.kind {
	case kindShort:
		a.promptTokens, a.decodeTokens, a.maxTokens = logNormal(rng, 120, 0.5, 20, 350), logNormal(rng, 40, 0.4, 5, 120), 128
	case kindSummary:
		a.promptTokens, a.decodeTokens, a.maxTokens = logNormal(rng, 2500, 0.3, 800, 6000), logNormal(rng, 150, 0.3, 50, 400), 400
	case kindLong:
		session := rng.Intn(sessionsPerTeam)
		history := 2000 + 150*session
		a.promptTokens = history + logNormal(rng, 400, 0.5, 100, 1500)
		a.decodeTokens = logNormal(rng, 700, 0.4, 200, 2000)
		a.maxTokens = 2048
		hash := xxh3.HashString(a.team) + uint64(session)*sessionHashStep
		a.prefixes = []routing.Prefix{{Hash: hash, Tokens: history}}
	case kindPlain:
		// A plain call has no tokens; it is modelled as one decode step.
		a.promptTokens, a.decodeTokens, a.maxTokens = 0, 1, 1
	}
}

// sessionHashStep is the distance between the prefix hashes of a team's consecutive sessions.
const sessionHashStep = 0x9e3779b97f4a7c15

func logNormal(rng *rand.Rand, median, sigma float64, low, high int) int {
	v := int(median * math.Exp(sigma*rng.NormFloat64()))
	return max(low, min(high, v))
}
