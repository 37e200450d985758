package claim

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against a decoded slot that differs from the encoded one, and against panics on malformed slots.
func FuzzDecodeSlot(f *testing.F) {
	full := Slot{Epoch: 7, Owner: "01J0000000000000000000000A", Records: []Record{
		{State: StateClaimed, Key: Hash{1}, Body: Hash{2}, RequestID: "A-1", AtMs: 1_800_000_000_000, ExpiryMs: 1_800_086_400_000},
		{State: StateReleased, Key: Hash{1}, Body: Hash{2}, RequestID: "A-1", AtMs: 1_800_000_000_000, ExpiryMs: 1_800_086_400_000},
		{State: StateFinished, Key: Hash{3}, RequestID: "B-2", Status: 201, ContentType: "text/plain", Answer: []byte("ok"), Kept: true},
	}}
	sealed := full
	sealed.Sealed = true
	f.Add(full.encode())
	f.Add(sealed.encode())
	f.Add(Slot{Epoch: 1}.encode())
	f.Add(full.encode()[:40])
	f.Add([]byte{slotFormat, 2, 0, 0})
	f.Add([]byte{slotFormat, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{slotFormat, 0, 1, 1, 'A', 0xff, 0x20})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		slot, err := DecodeSlot(value)
		if err != nil {
			return
		}
		again, err := DecodeSlot(slot.encode())
		if err != nil || !reflect.DeepEqual(again, slot) {
			t.Fatalf("%x decodes to %+v, and its encoding to %+v (%v)", value, slot, again, err)
		}
	})
}

// Guards against an append that changes the bytes of earlier records: after a lost reply the owner recognises its own
// append by its bytes.
func TestAppendExtendsTheSlot(t *testing.T) {
	r := Record{State: StateClaimed, Key: Hash{1}, RequestID: "A-1", AtMs: 5, ExpiryMs: 9}
	one := Slot{Epoch: 1, Owner: "A", Records: []Record{r}}.encode()
	two := Slot{Epoch: 1, Owner: "A", Records: []Record{r, r}}.encode()
	if !bytes.Equal(r.appendTo(bytes.Clone(one)), two) {
		t.Fatal("an appended slot differs from an encoded one")
	}
}
