package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"

	"google.golang.org/protobuf/proto"
)

// framer reads and writes the frames of one yamux stream. The MAC of a frame
// covers its kind and payload, the direction, the stream and the frame's
// position in it, so that a frame cannot be altered, replayed, reordered or
// moved to another stream. One goroutine may read while another one writes.
type framer struct {
	stream          io.ReadWriter
	maxPayloadBytes int
	// onFrame is called for each received frame after its authentication.
	onFrame func()
	in, out directionState
}

// directionState is the MAC state of one direction of a framer.
type directionState struct {
	mac hash.Hash
	// prefix contains the direction (1 byte) and the stream id (4 bytes).
	prefix [5]byte
	index  uint64
}

const (
	towardsServer byte = 1
	towardsClient byte = 2
)

func newFramer(stream io.ReadWriter, id uint32, frameKey sessionKey, client bool, maxPayloadBytes int, onFrame func()) *framer {
	in, out := towardsServer, towardsClient
	if client {
		in, out = towardsClient, towardsServer
	}
	return &framer{
		stream: stream, maxPayloadBytes: maxPayloadBytes, onFrame: onFrame,
		in: newDirectionState(frameKey, in, id), out: newDirectionState(frameKey, out, id),
	}
}

func newDirectionState(frameKey sessionKey, towards byte, id uint32) directionState {
	d := directionState{mac: hmac.New(sha256.New, frameKey[:])}
	d.prefix[0] = towards
	binary.BigEndian.PutUint32(d.prefix[1:], id)
	return d
}

// nextMAC returns the MAC of the next frame and increments the frame index.
func (d *directionState) nextMAC(header [lengthBytes + 1]byte, payload []byte) []byte {
	var index [8]byte
	binary.BigEndian.PutUint64(index[:], d.index)
	d.index++
	d.mac.Reset()
	d.mac.Write(d.prefix[:])
	d.mac.Write(index[:])
	d.mac.Write(header[:])
	d.mac.Write(payload)
	return d.mac.Sum(nil)[:macBytes]
}

// write sends one frame; message may be nil.
func (f *framer) write(kind frameKind, message proto.Message) error {
	frame := make([]byte, headerBytes, headerBytes+messageSize(message))
	if message != nil {
		var err error
		frame, err = proto.MarshalOptions{}.MarshalAppend(frame, message)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrProtocol, err)
		}
	}
	payload := frame[headerBytes:]
	if len(payload) > f.maxPayloadBytes {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, len(payload), f.maxPayloadBytes)
	}
	header := frameHeader(kind, len(payload))
	copy(frame, header[:])
	copy(frame[len(header):], f.out.nextMAC(header, payload))
	_, err := f.stream.Write(frame)
	return err
}

func messageSize(message proto.Message) int {
	if message == nil {
		return 0
	}
	return proto.Size(message)
}

func frameHeader(kind frameKind, length int) (header [lengthBytes + 1]byte) {
	binary.BigEndian.PutUint32(header[:], uint32(length))
	header[lengthBytes] = byte(kind)
	return header
}

// read returns the kind and the payload of the next frame. The buffer grows
// with the bytes received instead of being allocated for the announced length.
func (f *framer) read() (frameKind, []byte, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(f.stream, head[:]); err != nil {
		return 0, nil, err
	}
	length := int64(binary.BigEndian.Uint32(head[:]))
	if length > int64(f.maxPayloadBytes) {
		return 0, nil, fmt.Errorf("%w: %d bytes announced, limit %d", ErrFrameTooLarge, length, f.maxPayloadBytes)
	}
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, f.stream, length); err != nil {
		return 0, nil, err
	}
	want := f.in.nextMAC([lengthBytes + 1]byte(head[:lengthBytes+1]), payload.Bytes())
	if !hmac.Equal(want, head[lengthBytes+1:]) {
		return 0, nil, withDetail(ErrAuthentication, "the MAC of a received frame does not match")
	}
	f.onFrame()
	return frameKind(head[lengthBytes]), payload.Bytes(), nil
}
