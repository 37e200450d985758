package heartbeat

import (
	"crypto/hmac"
	"hash"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// decoder authenticates and decodes datagrams. It is not safe for concurrent use: the event loop owns it.
type decoder struct {
	mac     hash.Hash
	replays *replayFilter
	maxAge  time.Duration
}

// decode returns the heartbeat in a datagram. It fails with ErrMalformed, ErrAuthentication, ErrOld or ErrReplayed.
func (d *decoder) decode(datagram []byte, now time.Time) (*wire.Heartbeat, error) {
	if len(datagram) < headerBytes || len(datagram) > MaxDatagramBytes || datagram[0] != formatVersion {
		return nil, ErrMalformed
	}
	if !hmac.Equal(datagram[1:headerBytes], computeMAC(d.mac, datagram)) {
		return nil, ErrAuthentication
	}
	beat := &wire.Heartbeat{}
	if err := proto.Unmarshal(datagram[headerBytes:], beat); err != nil || beat.GetIncarnation() == "" {
		return nil, ErrMalformed
	}
	if beat.GetWallMs() > 0 && beat.GetWallMs() < now.Add(-d.maxAge).UnixMilli() {
		return nil, ErrOld
	}
	if !d.replays.accept(beat.GetIncarnation(), beat.GetSequence()) {
		return nil, ErrReplayed
	}
	return beat, nil
}
