package catalog

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/samber/oops"
)

// MaxRetainedChangeBytes bounds the total size of Before and After in the retained changes of a document; the oldest
// changes are dropped first, and the latest one is kept even if it exceeds the bound alone. Without this bound, 64 changes of large teams would exceed MaxDocumentBytes.
const MaxRetainedChangeBytes = 256 << 10

// WithChange returns a new document with the change applied and appended to Changes; the receiver is not modified. The
// result depends only on the document and the change, so that all instances compute the same one. It is not validated.
// WithChange sets Before; a nil After deletes the item.
func (d *Document) WithChange(change Change) (*Document, error) {
	if change.Revision != d.Revision+1 {
		return nil, oops.In("catalog").With("step", "apply", "revision", change.Revision).Wrap(ErrRevisionMismatch)
	}
	next := *d
	next.Revision = change.Revision
	if err := next.applyItem(&change); err != nil {
		return nil, oops.In("catalog").With("step", "apply").Wrap(err)
	}
	next.Changes = trimChanges(append(slices.Clone(d.Changes), change))
	return &next, nil
}

// Item returns the item as JSON, or nil when it does not exist. The name is ignored for ItemInForce.
func (d *Document) Item(kind ItemKind, name string) json.RawMessage {
	switch kind {
	case ItemService:
		return findItem(d.Services, name, serviceName)
	case ItemTeam:
		return findItem(d.Teams, name, teamName)
	case ItemPreset:
		return findItem(d.Presets, name, presetName)
	case ItemInForce:
		return encodeItem(d.InForce)
	default:
		return nil
	}
}

// applyItem sets change.Before, stores or deletes the item, and replaces change.After by its canonical encoding.
func (d *Document) applyItem(change *Change) (err error) {
	change.Before = d.Item(change.Kind, change.Name)
	if change.After == nil && change.Before == nil {
		return ErrUnknownItem
	}
	switch change.Kind {
	case ItemService:
		d.Services, err = replaceItem(d.Services, change, serviceName)
	case ItemTeam:
		d.Teams, err = replaceItem(d.Teams, change, teamName)
	case ItemPreset:
		d.Presets, err = replaceItem(d.Presets, change, presetName)
	case ItemInForce:
		err = d.setInForce(change)
	default:
		err = fmt.Errorf("%w: kind %q: must be one of service, team, preset, in_force", ErrInvalid, change.Kind)
	}
	return err
}

func (d *Document) setInForce(change *Change) error {
	if change.After == nil {
		return fmt.Errorf("%w: exactly one preset is in force; it cannot be deleted", ErrInvalid)
	}
	if err := decodeStrict(change.After, &d.InForce); err != nil {
		return fmt.Errorf("%w: in_force: must be the name of a preset as a JSON string", ErrInvalid)
	}
	change.After = encodeItem(d.InForce)
	return nil
}

func replaceItem[T any](items []T, change *Change, name func(*T) string) ([]T, error) {
	items = slices.Clone(items)
	index := slices.IndexFunc(items, func(item T) bool { return name(&item) == change.Name })
	if change.After == nil {
		return slices.Delete(items, index, index+1), nil
	}
	var item T
	if err := decodeStrict(change.After, &item); err != nil {
		return nil, fmt.Errorf("%w: %s %q: %w", ErrInvalid, change.Kind, change.Name, err)
	}
	if name(&item) != change.Name {
		return nil, fmt.Errorf("%w: %s %q: name: must be %q as in the change", ErrInvalid, change.Kind, change.Name, change.Name)
	}
	change.After = encodeItem(item)
	if index < 0 {
		return append(items, item), nil
	}
	items[index] = item
	return items, nil
}

func findItem[T any](items []T, name string, nameOf func(*T) string) json.RawMessage {
	for i := range items {
		if nameOf(&items[i]) == name {
			return encodeItem(items[i])
		}
	}
	return nil
}

func encodeItem(item any) json.RawMessage {
	value, err := json.Marshal(item)
	if err != nil {
		panic(err) // cannot happen: items consist of strings and finite numbers
	}
	return value
}

// trimChanges returns the newest changes within MaxChanges and MaxRetainedChangeBytes, and always the latest one.
func trimChanges(changes []Change) []Change {
	size, first := 0, len(changes)-1
	for i := len(changes) - 1; i >= 0 && i >= len(changes)-MaxChanges; i-- {
		size += len(changes[i].Before) + len(changes[i].After)
		if size > MaxRetainedChangeBytes && i < len(changes)-1 {
			break
		}
		first = i
	}
	return changes[first:]
}

func serviceName(s *Service) string { return s.Name }
func teamName(t *Team) string       { return t.Name }
func presetName(p *Preset) string   { return p.Name }

// CanonicalItem decodes an item strictly and encodes it again, so that equal items have equal bytes. A nil item stays nil.
// The error wraps ErrInvalid.
func CanonicalItem(kind ItemKind, item json.RawMessage) (json.RawMessage, error) {
	if item == nil {
		return nil, nil
	}
	var target any
	switch kind {
	case ItemService:
		target = &Service{}
	case ItemTeam:
		target = &Team{}
	case ItemPreset:
		target = &Preset{}
	case ItemInForce:
		target = new(string)
	default:
		return nil, fmt.Errorf("%w: kind %q: must be one of service, team, preset, in_force", ErrInvalid, kind)
	}
	if err := decodeStrict(item, target); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, kind, err)
	}
	return encodeItem(target), nil
}
