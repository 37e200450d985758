package claim

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed is returned for a slot value or a slot name that is malformed or of an unknown format.
var ErrMalformed = errors.New("claim: malformed slot")

// State is the state of a key after a record.
type State uint8

// States of a key.
const (
	StateClaimed State = iota + 1
	StateReleased
	StateFinished
)

// Record is one change of a key's state in the log.
type Record struct {
	State     State
	Key, Body Hash
	// RequestID is the id of the request that holds, released or finished the key.
	RequestID string
	// AtMs and ExpiryMs are in milliseconds since the Unix epoch; ExpiryMs is at least AtMs.
	AtMs, ExpiryMs int64
	// Status, ContentType and Answer are set in StateFinished only; Kept reports whether the answer is stored.
	Status      int
	ContentType string
	Answer      []byte
	Kept        bool
}

// keptFlag is the bit of the state byte that marks a record with a stored answer.
const keptFlag = 0x80

// appendTo appends the encoded record to b, preceded by its length.
//
//	state and keptFlag (1 byte) | key (16 bytes) | body (16 bytes) | request id | at | expiry - at
//	and for StateFinished:        status | content type | answer
//
// Numbers are unsigned varints; texts and the answer are preceded by their length.
func (r Record) appendTo(b []byte) []byte {
	var encoded []byte
	state := byte(r.State)
	if r.Kept {
		state |= keptFlag
	}
	encoded = append(encoded, state)
	encoded = append(encoded, r.Key[:]...)
	encoded = append(encoded, r.Body[:]...)
	encoded = appendLengthPrefixed(encoded, r.RequestID)
	encoded = binary.AppendUvarint(encoded, uint64(r.AtMs))
	encoded = binary.AppendUvarint(encoded, uint64(r.ExpiryMs-r.AtMs))
	if r.State == StateFinished {
		encoded = binary.AppendUvarint(encoded, uint64(r.Status))
		encoded = appendLengthPrefixed(encoded, r.ContentType)
		encoded = appendLengthPrefixed(encoded, string(r.Answer))
	}
	return appendLengthPrefixed(b, string(encoded))
}

// decodeRecord decodes a record without its length prefix. It fails with ErrMalformed.
func decodeRecord(b []byte) (Record, error) {
	d := decoder{rest: b}
	state := d.byte()
	r := Record{State: State(state &^ keptFlag), Kept: state&keptFlag != 0}
	copy(r.Key[:], d.take(len(r.Key)))
	copy(r.Body[:], d.take(len(r.Body)))
	r.RequestID = string(d.lengthPrefixed(MaxRequestIDBytes))
	r.AtMs = d.uvarint(maxMs)
	r.ExpiryMs = r.AtMs + d.uvarint(maxMs)
	if r.State == StateFinished {
		r.Status = int(d.uvarint(maxStatus))
		r.ContentType = string(d.lengthPrefixed(MaxContentTypeBytes))
		r.Answer = d.lengthPrefixed(MaxAnswerBytes)
	}
	valid := r.State >= StateClaimed && r.State <= StateFinished && (r.State == StateFinished || !r.Kept)
	if d.failed || len(d.rest) != 0 || !valid {
		return Record{}, ErrMalformed
	}
	return r, nil
}

const (
	maxMs     = 1 << 48 // about 8,900 years
	maxStatus = 999
)

// appendLengthPrefixed appends text to b, preceded by its length.
func appendLengthPrefixed(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}
