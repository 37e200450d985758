package gossip

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// checksumBytes is the size of the checksum in front of the content of a datagram. A datagram that was cut at the end of
// a field would decode without an error.
const checksumBytes = 8

// seal returns the datagram of a message.
func seal(message *wire.FleetMessage) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return sealBytes(content), nil
}

// sealBytes returns the datagram of the content in parts.
func sealBytes(parts ...[]byte) []byte {
	datagram := make([]byte, checksumBytes)
	for _, part := range parts {
		datagram = append(datagram, part...)
	}
	binary.BigEndian.PutUint64(datagram, xxh3.Hash(datagram[checksumBytes:]))
	return datagram
}

// unseal returns the content of a datagram. Its error wraps errMalformed.
func unseal(datagram []byte) ([]byte, error) {
	if len(datagram) < checksumBytes {
		return nil, fmt.Errorf("%w: %d bytes", errMalformed, len(datagram))
	}
	content := datagram[checksumBytes:]
	if binary.BigEndian.Uint64(datagram) != xxh3.Hash(content) {
		return nil, fmt.Errorf("%w: wrong checksum", errMalformed)
	}
	return content, nil
}
