package membership

import "knapweedhoist/rendezvous"

// Choose returns the n members with the highest rendezvous weights for key, highest
// first, or all of them if there are fewer than n. Adding or removing one
// member moves only the keys assigned to it.
func Choose(members []*Member, key string, n int) []*Member {
	return rendezvous.Choose(key, members, n, func(m *Member) string { return m.Incarnation })
}
