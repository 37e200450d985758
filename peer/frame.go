package peer

// frameKind is the byte in the header of a frame that states what its payload contains.
type frameKind byte

const (
	frameCall   frameKind = iota + 1 // wire.Call that has one answer
	frameStream                      // wire.Call that has a stream of answers
	frameAnswer                      // wire.Answer
	frameEnd                         // end of a stream of answers: wire.Answer without a body, with a failure if the call failed
	framePing
	framePong
)

// Frame layout: payload length (4 bytes, big-endian), kind (1), MAC (16), payload.
const (
	lengthBytes = 4
	macBytes    = 16
	headerBytes = lengthBytes + 1 + macBytes
)
