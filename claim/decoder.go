package claim

import (
	"bytes"
	"encoding/binary"
)

// decoder reads fields from bytes; after the first failure all reads return zero values.
type decoder struct {
	rest   []byte
	failed bool
}

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

func (d *decoder) number(limit uint64) int64 {
	n, size := binary.Uvarint(d.rest)
	if d.failed || size <= 0 || n > limit {
		d.failed = true
		return 0
	}
	d.rest = d.rest[size:]
	return int64(n)
}

func (d *decoder) text(limit int) []byte {
	n := d.number(uint64(limit))
	return bytes.Clone(d.take(int(n)))
}
