package claim

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Slot is the decoded value of one slot object:
//
//	format (1) | sealed (1) | epoch | owner | records
type Slot struct {
	// Sealed: nothing is appended any more.
	Sealed bool
	// Epoch is the owner number; it grows with each takeover. Owner is the incarnation that created the slot.
	Epoch   uint64
	Owner   string
	Records []Record
}

const (
	slotFormat   = 1
	sealedOffset = 1
	maxEpoch     = 1 << 62
)

// encode returns the value of the slot.
func (s Slot) encode() []byte {
	b := []byte{slotFormat, 0}
	if s.Sealed {
		b[sealedOffset] = 1
	}
	b = binary.AppendUvarint(b, s.Epoch)
	b = appendText(b, s.Owner)
	for _, r := range s.Records {
		b = r.append(b)
	}
	return b
}

// DecodeSlot decodes the value of a slot object. It fails with ErrMalformed.
func DecodeSlot(value []byte) (Slot, error) {
	d := decoder{rest: value}
	format, sealed := d.byte(), d.byte()
	s := Slot{Sealed: sealed == 1, Epoch: uint64(d.number(maxEpoch)), Owner: string(d.text(MaxRequestIDBytes))}
	if d.failed || format != slotFormat || sealed > 1 || len(value) > MaxSlotBytes {
		return Slot{}, ErrMalformed
	}
	for len(d.rest) > 0 {
		body := d.text(MaxSlotBytes)
		if d.failed {
			return Slot{}, ErrMalformed
		}
		r, err := decodeRecord(body)
		if err != nil {
			return Slot{}, err
		}
		s.Records = append(s.Records, r)
	}
	return s, nil
}

// prefix is the common start of the names of a shard's slots.
func prefix(shard int) string { return fmt.Sprintf("%03d/", shard) }

// name is the name of a slot object; names order like slot numbers.
func name(shard int, number uint64) string { return fmt.Sprintf("%s%012d", prefix(shard), number) }

// slotNumber returns the number in the name of a slot object.
func slotNumber(shard int, name string) (uint64, error) {
	digits, ok := strings.CutPrefix(name, prefix(shard))
	if !ok {
		return 0, ErrMalformed
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, ErrMalformed
	}
	return number, nil
}
