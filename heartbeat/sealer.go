package heartbeat

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// keyLabel separates the key of datagrams from other uses of the fleet's key.
const keyLabel = "knapweedhoist heartbeat"

// newMAC returns the MAC of datagrams.
func newMAC(fleetKey []byte) hash.Hash {
	derived := hmac.New(sha256.New, fleetKey)
	derived.Write([]byte(keyLabel))
	return hmac.New(sha256.New, derived.Sum(nil))
}

// sealer makes datagrams; one goroutine uses it.
type sealer struct {
	mac      hash.Hash
	sequence uint64
}

// seal returns beat as one datagram, or as several when its lists do not fit.
func (s *sealer) seal(beat *wire.Heartbeat) ([][]byte, error) {
	var datagrams [][]byte
	for _, part := range split(beat, MaxDatagramBytes-headerBytes) {
		s.sequence++
		part.Sequence = s.sequence
		datagram := make([]byte, headerBytes, MaxDatagramBytes)
		datagram[0] = version
		datagram, err := proto.MarshalOptions{}.MarshalAppend(datagram, part)
		if err != nil {
			return nil, err
		}
		if len(datagram) > MaxDatagramBytes {
			return nil, ErrTooLarge
		}
		copy(datagram[1:], sum(s.mac, datagram))
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// sum returns the MAC of a datagram, which covers the version and the payload.
func sum(mac hash.Hash, datagram []byte) []byte {
	mac.Reset()
	mac.Write(datagram[:1])
	mac.Write(datagram[headerBytes:])
	return mac.Sum(nil)[:macBytes]
}
