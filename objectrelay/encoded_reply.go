package objectrelay

import (
	"bytes"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// encodedReply is an answer to a list or a watch. Its parts are encoded messages that all readers share: decoders merge the
// fields of messages in a row, so that a reader costs no memory of the size of the objects.
type encodedReply struct {
	parts    [][]byte
	position objectapi.Position
	age      time.Duration
}

// end encodes the fields that differ between readers. The age is at least 1 ms, since readers refuse a message without one.
func (r encodedReply) end() ([]byte, error) {
	era, err := proto.Marshal(&wire.RelayedObjects{Era: uint64(r.position.Era)})
	if err != nil {
		return nil, err
	}
	return proto.MarshalOptions{}.MarshalAppend(era, &wire.RelayedObjects{
		Version: uint64(r.position.Version), AgeMs: max(ceilMilliseconds(r.age), 1),
	})
}

// body returns the message and its length in bytes. The version and the age are its last fields, so that a message that was
// cut lacks one of them; the era may be absent.
func (r encodedReply) body() (io.Reader, int, error) {
	end, err := r.end()
	if err != nil {
		return nil, 0, err
	}
	readers, length := make([]io.Reader, 0, len(r.parts)+1), len(end)
	for _, part := range r.parts {
		readers = append(readers, bytes.NewReader(part))
		length += len(part)
	}
	return io.MultiReader(append(readers, bytes.NewReader(end))...), length, nil
}

// decode returns the answer as the reader sees it, but for the rounding of its age.
func (r encodedReply) decode(kind objectapi.Kind) (objectapi.Reply, error) {
	var message wire.RelayedObjects
	if err := proto.Unmarshal(bytes.Join(r.parts, nil), &message); err != nil {
		return objectapi.Reply{}, err
	}
	reply := decodeReply(&message, kind)
	reply.Version, reply.Era, reply.Age = r.position.Version, r.position.Era, r.age
	return reply, nil
}
