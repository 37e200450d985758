package claim

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed means that the bytes are not a slot of a known format.
var ErrMalformed = errors.New("claim: malformed slot")

// State is the state of a key after a record.
type State uint8

// States of a key.
const (
	StateClaimed State = iota + 1
	StateReleased
	StateDone
)

// Record is one entry of the log.
type Record struct {
	State     State
	Key, Body Hash
	// RequestID is the request that holds, released or finished the key.
	RequestID string
	// AtMs and ExpiryMs are in milliseconds since the Unix epoch; ExpiryMs is at least AtMs.
	AtMs, ExpiryMs int64
	// Status, ContentType and Answer apply to StateDone; Kept tells that the answer is stored.
	Status      int
	ContentType string
	Answer      []byte
	Kept        bool
}

// keptFlag marks a record with a stored answer, beside its state.
const keptFlag = 0x80

// append encodes the record with its length in front.
//
//	state and flag (1) | key (16) | body (16) | request id | at | expiry - at
//	and for Done:        status | content type | answer
//
// Numbers are unsigned varints; texts have their length in front.
func (r Record) append(b []byte) []byte {
	var body []byte
	state := byte(r.State)
	if r.Kept {
		state |= keptFlag
	}
	body = append(body, state)
	body = append(body, r.Key[:]...)
	body = append(body, r.Body[:]...)
	body = appendText(body, r.RequestID)
	body = binary.AppendUvarint(body, uint64(r.AtMs))
	body = binary.AppendUvarint(body, uint64(r.ExpiryMs-r.AtMs))
	if r.State == StateDone {
		body = binary.AppendUvarint(body, uint64(r.Status))
		body = appendText(body, r.ContentType)
		body = appendText(body, string(r.Answer))
	}
	return appendText(b, string(body))
}

func decodeRecord(b []byte) (Record, error) {
	d := decoder{rest: b}
	state := d.byte()
	r := Record{State: State(state &^ keptFlag), Kept: state&keptFlag != 0}
	copy(r.Key[:], d.take(len(r.Key)))
	copy(r.Body[:], d.take(len(r.Body)))
	r.RequestID = string(d.text(MaxRequestIDBytes))
	r.AtMs = d.number(maxMs)
	r.ExpiryMs = r.AtMs + d.number(maxMs)
	if r.State == StateDone {
		r.Status = int(d.number(maxStatus))
		r.ContentType = string(d.text(MaxContentTypeBytes))
		r.Answer = d.text(MaxAnswerBytes)
	}
	valid := r.State >= StateClaimed && r.State <= StateDone && (r.State == StateDone || !r.Kept)
	if d.failed || len(d.rest) != 0 || !valid {
		return Record{}, ErrMalformed
	}
	return r, nil
}

const (
	maxMs     = 1 << 48 // some 8,900 years
	maxStatus = 999
)

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}
