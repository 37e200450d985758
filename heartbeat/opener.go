package heartbeat

import (
	"crypto/hmac"
	"hash"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// opener checks datagrams; one goroutine uses it.
type opener struct {
	mac    hash.Hash
	seen   *windows
	maxAge time.Duration
}

// open returns the heartbeat of an authentic datagram that was not seen before.
func (o *opener) open(datagram []byte, now time.Time) (*wire.Heartbeat, error) {
	if len(datagram) < headerBytes || len(datagram) > MaxDatagramBytes || datagram[0] != version {
		return nil, ErrMalformed
	}
	if !hmac.Equal(datagram[1:headerBytes], sum(o.mac, datagram)) {
		return nil, ErrAuthentication
	}
	beat := &wire.Heartbeat{}
	if err := proto.Unmarshal(datagram[headerBytes:], beat); err != nil || beat.GetIncarnation() == "" {
		return nil, ErrMalformed
	}
	if beat.GetWallMs() > 0 && beat.GetWallMs() < now.Add(-o.maxAge).UnixMilli() {
		return nil, ErrOld
	}
	if !o.seen.accept(beat.GetIncarnation(), beat.GetSequence()) {
		return nil, ErrReplayed
	}
	return beat, nil
}
