package streamorigin

// maxUnsent is the number of streams that are kept of those that wait to be sent to other instances, and of those that wait to be
// sent again. Twice as many may wait in between.
const maxUnsent = 1 << 14

// unsent holds the streams that messages have to name, each twice since messages are lost: the newest first, since most streams that
// break off are taken up at once, and those never sent before the others. It is not safe for concurrent use.
type unsent struct {
	// fresh holds the streams that no message has named, repeats those that one has, the newest last.
	fresh, repeats []Key
}

// add adds a stream that has just begun.
func (u *unsent) add(key Key) { u.fresh = appendBounded(u.fresh, key) }

// take returns the streams for the next message, at most limit.
func (u *unsent) take(limit int) []Key {
	first := max(len(u.fresh)-limit, 0)
	again := max(len(u.repeats)-(limit-len(u.fresh[first:])), 0)
	taken := append([]Key(nil), u.fresh[first:]...)
	sent := len(taken)
	taken = append(taken, u.repeats[again:]...)
	u.fresh, u.repeats = u.fresh[:first], appendBounded(u.repeats[:again], taken[:sent]...)
	return taken
}

// appendBounded appends keys to a list and forgets the oldest ones, so that maxUnsent remain if there are more than twice as many.
func appendBounded(list []Key, keys ...Key) []Key {
	list = append(list, keys...)
	if len(list) > 2*maxUnsent {
		list = append(list[:0], list[len(list)-maxUnsent:]...)
	}
	return list
}
