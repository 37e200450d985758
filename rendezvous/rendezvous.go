// Package rendezvous chooses owners by rendezvous (highest random weight) hash:
// when a member joins or leaves, only the keys that it gains or had move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Top returns the n members with the highest weight for key, highest first.
// It returns fewer when there are fewer members. The order of members does not matter.
func Top(key string, members []string, n int) []string {
	type weighted struct {
		member string
		weight uint64
	}
	seed := xxh3.HashString(key)
	all := make([]weighted, 0, len(members))
	for _, member := range members {
		all = append(all, weighted{member: member, weight: xxh3.HashStringSeed(member, seed)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	top := make([]string, 0, n)
	for _, w := range all[:min(n, len(all))] {
		top = append(top, w.member)
	}
	return top
}
