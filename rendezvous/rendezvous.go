// Package rendezvous assigns keys to members by rendezvous hashing (highest random
// weight): when a member joins, only the keys that it gains change owner; when one
// leaves, only the keys that it owned.
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Choose returns the n members with the highest weights for key, highest first,
// or all of them if there are fewer than n. n must be at least 1. The order of
// members does not affect the result. id returns the unique name of a member.
func Choose[T any](key string, members []T, n int, id func(T) string) []T {
	seed := xxh3.HashString(key)
	best := make([]weightedMember[T], 0, n+1)
	for _, member := range members {
		name := id(member)
		candidate := weightedMember[T]{member: member, name: name, weight: xxh3.HashStringSeed(name, seed)}
		if len(best) == n && !candidate.ranksAbove(best[n-1]) {
			continue
		}
		rank := 0
		for rank < len(best) && !candidate.ranksAbove(best[rank]) {
			rank++
		}
		best = slices.Insert(best, rank, candidate)
		best = best[:min(n, len(best))]
	}
	chosen := make([]T, len(best))
	for i, w := range best {
		chosen[i] = w.member
	}
	return chosen
}

// weightedMember is a member with its name and its weight for a key.
type weightedMember[T any] struct {
	member T
	name   string
	weight uint64
}

// ranksAbove reports whether w ranks above other: by higher weight, then by lower
// name.
func (w weightedMember[T]) ranksAbove(other weightedMember[T]) bool {
	if w.weight != other.weight {
		return w.weight > other.weight
	}
	return w.name < other.name
}
