package membership

import "knapweedhoist/rendezvous"

// Choose returns the n members with the highest rendezvous weight for key, best
// first. A change of one member moves only the keys that it had or gets.
func Choose(members []*Member, key string, n int) []*Member {
	return rendezvous.Choose(key, members, n, func(m *Member) string { return m.Incarnation })
}
