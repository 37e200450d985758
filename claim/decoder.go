package claim

import (
	"bytes"
	"encoding/binary"
)

// decoder reads encoded fields from rest. After the first failure all reads return zero values.
type decoder struct {
	rest   []byte
	failed bool
}

// take reads n bytes.
func (d *decoder) take(n int) []byte {
	if d.failed || n > len(d.rest) {
		d.failed = true
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

// uvarint reads an unsigned varint of at most limit.
func (d *decoder) uvarint(limit uint64) int64 {
	n, size := binary.Uvarint(d.rest)
	if d.failed || size <= 0 || n > limit {
		d.failed = true
		return 0
	}
	d.rest = d.rest[size:]
	return int64(n)
}

// lengthPrefixed reads at most limit bytes that are preceded by their length.
func (d *decoder) lengthPrefixed(limit int) []byte {
	n := d.uvarint(uint64(limit))
	return bytes.Clone(d.take(int(n)))
}
