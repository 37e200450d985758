package claim

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Slot is the decoded value of one slot object:
//
//	format (1 byte) | sealed (1 byte) | epoch | owner | records
type Slot struct {
	// Sealed reports whether the slot is final: no more records may be appended.
	Sealed bool
	// Epoch numbers the ownerships of the log; it increases with each takeover. Owner is the incarnation that created
	// the slot.
	Epoch   uint64
	Owner   string
	Records []Record
}

const (
	slotFormat   = 1
	sealedOffset = 1 // offset of the byte that marks a sealed slot
	maxEpoch     = 1 << 62
)

// encode returns the value of the slot object.
func (s Slot) encode() []byte {
	b := []byte{slotFormat, 0}
	if s.Sealed {
		b[sealedOffset] = 1
	}
	b = binary.AppendUvarint(b, s.Epoch)
	b = appendLengthPrefixed(b, s.Owner)
	for _, r := range s.Records {
		b = r.appendTo(b)
	}
	return b
}

// DecodeSlot decodes the value of a slot object. It fails with ErrMalformed.
func DecodeSlot(value []byte) (Slot, error) {
	d := decoder{rest: value}
	format, sealed := d.byte(), d.byte()
	s := Slot{Sealed: sealed == 1, Epoch: uint64(d.uvarint(maxEpoch)), Owner: string(d.lengthPrefixed(MaxRequestIDBytes))}
	if d.failed || format != slotFormat || sealed > 1 || len(value) > MaxSlotBytes {
		return Slot{}, ErrMalformed
	}
	for len(d.rest) > 0 {
		encoded := d.lengthPrefixed(MaxSlotBytes)
		if d.failed {
			return Slot{}, ErrMalformed
		}
		r, err := decodeRecord(encoded)
		if err != nil {
			return Slot{}, err
		}
		s.Records = append(s.Records, r)
	}
	return s, nil
}

// shardPrefix returns the common prefix of the names of a shard's slot objects.
func shardPrefix(shard int) string { return fmt.Sprintf("%03d/", shard) }

// slotName returns the name of a slot object. Names sort in the order of slot numbers.
func slotName(shard int, number uint64) string {
	return fmt.Sprintf("%s%012d", shardPrefix(shard), number)
}

// slotNumber returns the number in the name of a slot object.
func slotNumber(shard int, name string) (uint64, error) {
	digits, ok := strings.CutPrefix(name, shardPrefix(shard))
	if !ok {
		return 0, ErrMalformed
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, ErrMalformed
	}
	return number, nil
}
