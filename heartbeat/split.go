package heartbeat

import (
	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// maxSequenceBytes is the length of the longest encoding of a sequence number
// and its tag. The sequence number is set after splitting.
const maxSequenceBytes = 11

// split returns copies of beat whose encodings have at most limit bytes. Each copy
// has all fields that are not lists, so that it is valid alone. The list items are
// distributed over the copies. An encoding exceeds limit only if the other fields
// and one item do.
func split(beat *wire.Heartbeat, limit int) []*wire.Heartbeat {
	limit -= maxSequenceBytes
	whole := copyWithoutLists(beat)
	whole.Loads, whole.Leaves = beat.GetLoads(), beat.GetLeaves()
	whole.Alive = beat.GetAlive()
	if proto.Size(whole) <= limit {
		return []*wire.Heartbeat{whole}
	}
	s := splitter{beat: beat, limit: limit}
	s.startPart()
	// Leaves are sent first, because they are the most urgent.
	for _, leave := range beat.GetLeaves() {
		s.add(func(part *wire.Heartbeat) { part.Leaves = append(part.Leaves, leave) })
	}
	for _, load := range beat.GetLoads() {
		s.add(func(part *wire.Heartbeat) { part.Loads = append(part.Loads, load) })
	}
	for _, alive := range beat.GetAlive() {
		s.add(func(part *wire.Heartbeat) { part.Alive = append(part.Alive, alive) })
	}
	return s.parts
}

// splitter appends list items to parts, which are filled one after the other.
type splitter struct {
	beat  *wire.Heartbeat
	limit int
	parts []*wire.Heartbeat
}

// startPart appends a part without list items.
func (s *splitter) startPart() {
	s.parts = append(s.parts, copyWithoutLists(s.beat))
}

// add appends an item to the last part, or to a new one if it does not fit.
func (s *splitter) add(appendItem func(*wire.Heartbeat)) {
	last := s.parts[len(s.parts)-1]
	saved := copyWithLists(last)
	appendItem(last)
	if proto.Size(last) <= s.limit {
		return
	}
	s.parts[len(s.parts)-1] = saved
	s.startPart()
	appendItem(s.parts[len(s.parts)-1])
}

// copyWithoutLists returns a copy of the fields that are not lists, except the sequence number.
func copyWithoutLists(b *wire.Heartbeat) *wire.Heartbeat {
	return &wire.Heartbeat{
		Instance: b.Instance, Incarnation: b.Incarnation, Datacentre: b.Datacentre,
		PeerAddress: b.PeerAddress, DatagramAddress: b.DatagramAddress, OperatorAddress: b.OperatorAddress,
		Leaving: b.Leaving, Successor: b.Successor, Revision: b.Revision, RevisionAgeMs: b.RevisionAgeMs,
		WallMs: b.WallMs, Logical: b.Logical,
	}
}

// copyWithLists returns a copy that shares the list items. Appending to a list of either does not change the length of the
// other's.
func copyWithLists(b *wire.Heartbeat) *wire.Heartbeat {
	c := copyWithoutLists(b)
	c.Loads, c.Leaves, c.Alive = b.Loads, b.Leaves, b.Alive
	return c
}
