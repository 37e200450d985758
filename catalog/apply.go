package catalog

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/samber/oops"
)

// MaxChangeBytes bounds what the changes of a document hold in Before and After; older changes are dropped first.
// Without it, 64 changes of large teams would fill the document.
const MaxChangeBytes = 256 << 10

// WithChange returns a new document with the change applied and recorded; the document itself stays as it is. The
// result depends on nothing but the document and the change, so that all instances get the same one. It is not
// validated. Before is set here; an After of nil deletes the item.
func (d *Document) WithChange(change Change) (*Document, error) {
	if change.Revision != d.Revision+1 {
		return nil, oops.In("catalog").With("step", "apply", "revision", change.Revision).Wrap(ErrRevision)
	}
	next := *d
	next.Revision = change.Revision
	if err := next.replace(&change); err != nil {
		return nil, oops.In("catalog").With("step", "apply").Wrap(err)
	}
	next.Changes = trim(append(slices.Clone(d.Changes), change))
	return &next, nil
}

// Item returns an item as JSON, or nil when it does not exist.
func (d *Document) Item(kind ItemKind, name string) json.RawMessage {
	switch kind {
	case ItemService:
		return find(d.Services, name, serviceName)
	case ItemTeam:
		return find(d.Teams, name, teamName)
	case ItemPreset:
		return find(d.Presets, name, presetName)
	case ItemInForce:
		return encodeItem(d.InForce)
	default:
		return nil
	}
}

func (d *Document) replace(change *Change) (err error) {
	change.Before = d.Item(change.Kind, change.Name)
	if change.After == nil && change.Before == nil {
		return ErrUnknownItem
	}
	switch change.Kind {
	case ItemService:
		d.Services, err = replaceIn(d.Services, change, serviceName)
	case ItemTeam:
		d.Teams, err = replaceIn(d.Teams, change, teamName)
	case ItemPreset:
		d.Presets, err = replaceIn(d.Presets, change, presetName)
	case ItemInForce:
		err = d.putInForce(change)
	default:
		err = fmt.Errorf("%w: kind %q: must be one of service, team, preset, in_force", ErrInvalid, change.Kind)
	}
	return err
}

func (d *Document) putInForce(change *Change) error {
	if change.After == nil {
		return fmt.Errorf("%w: exactly one preset is in force; it cannot be deleted", ErrInvalid)
	}
	if err := decodeStrict(change.After, &d.InForce); err != nil {
		return fmt.Errorf("%w: in_force: must be the name of a preset as a JSON string", ErrInvalid)
	}
	change.After = encodeItem(d.InForce)
	return nil
}

func replaceIn[T any](items []T, change *Change, name func(*T) string) ([]T, error) {
	items = slices.Clone(items)
	at := slices.IndexFunc(items, func(item T) bool { return name(&item) == change.Name })
	if change.After == nil {
		return slices.Delete(items, at, at+1), nil
	}
	var item T
	if err := decodeStrict(change.After, &item); err != nil {
		return nil, fmt.Errorf("%w: %s %q: %w", ErrInvalid, change.Kind, change.Name, err)
	}
	if name(&item) != change.Name {
		return nil, fmt.Errorf("%w: %s %q: name: must be %q as in the change", ErrInvalid, change.Kind, change.Name, change.Name)
	}
	change.After = encodeItem(item)
	if at < 0 {
		return append(items, item), nil
	}
	items[at] = item
	return items, nil
}

func find[T any](items []T, name string, nameOf func(*T) string) json.RawMessage {
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
		panic(err) // the items hold only texts and finite numbers
	}
	return value
}

// trim keeps the last changes within MaxChanges and MaxChangeBytes, and always the last one.
func trim(changes []Change) []Change {
	size, first := 0, len(changes)-1
	for i := len(changes) - 1; i >= 0 && i >= len(changes)-MaxChanges; i-- {
		size += len(changes[i].Before) + len(changes[i].After)
		if size > MaxChangeBytes && i < len(changes)-1 {
			break
		}
		first = i
	}
	return changes[first:]
}

func serviceName(s *Service) string { return s.Name }
func teamName(t *Team) string       { return t.Name }
func presetName(p *Preset) string   { return p.Name }

// CanonicalItem decodes an item strictly and encodes it again: equal items have equal bytes. A nil item stays nil.
func CanonicalItem(kind ItemKind, item json.RawMessage) (json.RawMessage, error) {
	if item == nil {
		return nil, nil
	}
	var into any
	switch kind {
	case ItemService:
		into = &Service{}
	case ItemTeam:
		into = &Team{}
	case ItemPreset:
		into = &Preset{}
	case ItemInForce:
		into = new(string)
	default:
		return nil, fmt.Errorf("%w: kind %q: must be one of service, team, preset, in_force", ErrInvalid, kind)
	}
	if err := decodeStrict(item, into); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, kind, err)
	}
	return encodeItem(into), nil
}
