package handover

import (
	"cmp"

	"github.com/zeebo/xxh3"
)

// compareRank orders two peers by their rendezvous rank for an instance.
func compareRank(self, a, b string) int {
	return cmp.Or(
		cmp.Compare(xxh3.HashString(self+a), xxh3.HashString(self+b)),
		cmp.Compare(a, b),
	)
}
