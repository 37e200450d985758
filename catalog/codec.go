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

// MaxDocumentBytes is the largest size of an encoded document: the object API limits values to this size.
const MaxDocumentBytes = objectapi.MaxValueBytes

// Decode decodes a document strictly: unknown fields, data after the document and more than MaxDocumentBytes are errors.
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

// Encode returns the document as JSON with items sorted by name, so that equal documents have equal bytes. The error
// wraps ErrTooLarge above MaxDocumentBytes.
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

// decodeStrict decodes one JSON value; unknown fields and data after the value are errors.
func decodeStrict(value []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end")
	}
	return nil
}
