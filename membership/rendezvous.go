package membership

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// scored is a member with its rendezvous score for a key.
type scored struct {
	member *Member
	score  uint64
}

func (s scored) better(other scored) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.member.Incarnation < other.member.Incarnation
}

// Choose returns the n members with the highest rendezvous score for key, best
// first. A change of one member moves only the keys that it had or gets.
func Choose(members []*Member, key string, n int) []*Member {
	seed := xxh3.HashString(key)
	best := make([]scored, 0, n+1)
	for _, m := range members {
		candidate := scored{member: m, score: xxh3.HashStringSeed(m.Incarnation, seed)}
		if len(best) == n && !candidate.better(best[n-1]) {
			continue
		}
		at := 0
		for at < len(best) && !candidate.better(best[at]) {
			at++
		}
		best = slices.Insert(best, at, candidate)
		best = best[:min(n, len(best))]
	}
	chosen := make([]*Member, len(best))
	for i, s := range best {
		chosen[i] = s.member
	}
	return chosen
}
