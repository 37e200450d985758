package handover

import (
	"cmp"

	"github.com/zeebo/xxh3"
)

// compareRank orders the peers a and b by their rendezvous hash with self, and by
// name if the hashes are equal.
func compareRank(self, a, b string) int {
	return cmp.Or(
		cmp.Compare(xxh3.HashString(self+a), xxh3.HashString(self+b)),
		cmp.Compare(a, b),
	)
}
