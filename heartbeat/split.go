package heartbeat

import (
	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// maxSequenceBytes is the largest encoding of a sequence number and its tag,
// which is set after splitting.
const maxSequenceBytes = 11

// split returns copies of beat whose encodings have at most limit bytes. Each
// has all single fields, so that each is valid alone; list items are divided.
func split(beat *wire.Heartbeat, limit int) []*wire.Heartbeat {
	limit -= maxSequenceBytes
	whole := copyWithoutLists(beat)
	whole.Loads, whole.Leaves = beat.GetLoads(), beat.GetLeaves()
	whole.Alive = beat.GetAlive()
	if proto.Size(whole) <= limit {
		return []*wire.Heartbeat{whole}
	}
	s := splitter{beat: beat, limit: limit}
	s.start()
	// Leaves are first: they are the most urgent.
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

// splitter fills one part after the other.
type splitter struct {
	beat  *wire.Heartbeat
	limit int
	parts []*wire.Heartbeat
}

func (s *splitter) start() {
	s.parts = append(s.parts, copyWithoutLists(s.beat))
}

// add puts an item into the last part, or into a new one when it does not fit.
func (s *splitter) add(item func(*wire.Heartbeat)) {
	last := s.parts[len(s.parts)-1]
	before := copyOf(last)
	item(last)
	if proto.Size(last) <= s.limit {
		return
	}
	s.parts[len(s.parts)-1] = before
	s.start()
	item(s.parts[len(s.parts)-1])
}

func copyWithoutLists(b *wire.Heartbeat) *wire.Heartbeat {
	return &wire.Heartbeat{
		Instance: b.Instance, Incarnation: b.Incarnation, Datacentre: b.Datacentre,
		PeerAddress: b.PeerAddress, DatagramAddress: b.DatagramAddress, OperatorAddress: b.OperatorAddress,
		Leaving: b.Leaving, Successor: b.Successor, Revision: b.Revision, RevisionAgeMs: b.RevisionAgeMs,
		WallMs: b.WallMs, Logical: b.Logical,
	}
}

// copyOf shares the items; appending to either copy does not change the other's length.
func copyOf(b *wire.Heartbeat) *wire.Heartbeat {
	c := copyWithoutLists(b)
	c.Loads, c.Leaves, c.Alive = b.Loads, b.Leaves, b.Alive
	return c
}
