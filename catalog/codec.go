package catalog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"github.com/samber/oops"

	"knapweedhoist/objectapi"
)

// MaxDocumentBytes bounds the encoded document: the largest value of the object API.
const MaxDocumentBytes = objectapi.MaxValueBytes

// Decode reads a document strictly: unknown fields, data after the document and an oversized document are errors.
// It does not validate the document.
func Decode(value []byte) (*Document, error) {
	if len(value) > MaxDocumentBytes {
		return nil, oops.In("catalog").With("step", "decode", "bytes", len(value)).Wrap(ErrTooLarge)
	}
	d := &Document{}
	if err := decodeStrict(value, d); err != nil {
		return nil, oops.In("catalog").With("step", "decode").Wrap(err)
	}
	return d, nil
}

// Encode returns the document as JSON, with items in the order of their names: equal documents have equal bytes.
func (d *Document) Encode() ([]byte, error) {
	sorted := *d
	sorted.Services = slices.SortedStableFunc(slices.Values(d.Services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	sorted.Teams = slices.SortedStableFunc(slices.Values(d.Teams), func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	sorted.Presets = slices.SortedStableFunc(slices.Values(d.Presets), func(a, b Preset) int { return cmp.Compare(a.Name, b.Name) })
	value, err := json.Marshal(sorted)
	if err != nil {
		return nil, oops.In("catalog").With("step", "encode").Wrap(err)
	}
	if len(value) > MaxDocumentBytes {
		return nil, oops.In("catalog").With("step", "encode", "bytes", len(value)).Wrap(ErrTooLarge)
	}
	return value, nil
}

func decodeStrict(value []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end")
	}
	return nil
}
