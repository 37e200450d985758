package heartbeat

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// keyLabel is the label with which the key of datagrams is derived from the fleet key, so that the derived key differs
// from those of other uses of the fleet key.
const keyLabel = "knapweedhoist heartbeat"

// newMAC returns an HMAC-SHA-256 with the key of datagrams.
func newMAC(fleetKey []byte) hash.Hash {
	derived := hmac.New(sha256.New, fleetKey)
	derived.Write([]byte(keyLabel))
	return hmac.New(sha256.New, derived.Sum(nil))
}

// encoder encodes and authenticates datagrams. It is not safe for concurrent use: Transport.mu guards it.
type encoder struct {
	mac hash.Hash
	// sequence is the sequence number of the last datagram.
	sequence uint64
}

// encode returns beat as one datagram, or as several if its lists do not fit into one. It fails with ErrTooLarge if the
// other fields and one list item do not fit.
func (e *encoder) encode(beat *wire.Heartbeat) ([][]byte, error) {
	var datagrams [][]byte
	for _, part := range split(beat, MaxDatagramBytes-headerBytes) {
		e.sequence++
		part.Sequence = e.sequence
		datagram := make([]byte, headerBytes, MaxDatagramBytes)
		datagram[0] = formatVersion
		datagram, err := proto.MarshalOptions{}.MarshalAppend(datagram, part)
		if err != nil {
			return nil, err
		}
		if len(datagram) > MaxDatagramBytes {
			return nil, ErrTooLarge
		}
		copy(datagram[1:], computeMAC(e.mac, datagram))
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// computeMAC returns the truncated MAC of a datagram, which covers the version and the payload.
func computeMAC(mac hash.Hash, datagram []byte) []byte {
	mac.Reset()
	mac.Write(datagram[:1])
	mac.Write(datagram[headerBytes:])
	return mac.Sum(nil)[:macBytes]
}
