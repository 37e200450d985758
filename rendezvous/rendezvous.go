// Package rendezvous chooses owners by rendezvous (highest random weight) hash:
// when a member joins or leaves, only the keys that it gains or had move.
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Choose returns the n members with the highest weight for key, highest first.
// It returns fewer when there are fewer members. The order of members does not
// matter; id gives a member's unique name.
func Choose[T any](key string, members []T, n int, id func(T) string) []T {
	seed := xxh3.HashString(key)
	best := make([]weighted[T], 0, n+1)
	for _, member := range members {
		name := id(member)
		candidate := weighted[T]{member: member, name: name, weight: xxh3.HashStringSeed(name, seed)}
		if len(best) == n && !candidate.before(best[n-1]) {
			continue
		}
		at := 0
		for at < len(best) && !candidate.before(best[at]) {
			at++
		}
		best = slices.Insert(best, at, candidate)
		best = best[:min(n, len(best))]
	}
	chosen := make([]T, len(best))
	for i, w := range best {
		chosen[i] = w.member
	}
	return chosen
}

// weighted is a member with its weight for a key.
type weighted[T any] struct {
	member T
	name   string
	weight uint64
}

func (w weighted[T]) before(other weighted[T]) bool {
	if w.weight != other.weight {
		return w.weight > other.weight
	}
	return w.name < other.name
}
