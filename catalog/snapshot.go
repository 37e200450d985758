package catalog

import (
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/samber/oops"
)

// Snapshot is a validated document with defaults set and indexes for look-ups. It is immutable and safe for concurrent
// use; callers must not change the items that it returns.
type Snapshot struct {
	revision        uint64
	inForce         *Preset
	services        map[string]*Service
	servicesByModel map[string]*Service
	teams           map[string]*Team
	presets         map[string]*Preset
	// keysByPrefix holds the key hashes by their first 8 bytes. The whole hash is compared in constant time.
	keysByPrefix map[uint64][]teamKey
}

type teamKey struct {
	hash KeyHash
	team *Team
}

// NewSnapshot validates the document and indexes a copy of its items. The error wraps a *ValidationError.
func NewSnapshot(d *Document) (*Snapshot, error) {
	if err := d.Validate(); err != nil {
		return nil, oops.In("catalog").With("step", "snapshot", "revision", d.Revision).Wrap(err)
	}
	s := &Snapshot{
		revision: d.Revision, services: make(map[string]*Service), servicesByModel: make(map[string]*Service),
		teams: make(map[string]*Team), presets: make(map[string]*Preset), keysByPrefix: make(map[uint64][]teamKey),
	}
	for _, service := range d.Services {
		s.addService(service.withDefaults())
	}
	for _, team := range d.Teams {
		s.addTeam(team.withDefaults())
	}
	for _, preset := range d.Presets {
		withDefaults := preset.withDefaults()
		s.presets[preset.Name] = &withDefaults
	}
	s.inForce = s.presets[d.InForce]
	return s, nil
}

func (s *Snapshot) addService(service Service) {
	service.Models = slices.Clone(service.Models)
	service.Idempotent = slices.Clone(service.Idempotent)
	service.Classes = slices.Clone(service.Classes)
	s.services[service.Name] = &service
	for _, model := range service.Models {
		s.servicesByModel[model] = &service
	}
}

func (s *Snapshot) addTeam(team Team) {
	team.KeyHashes = slices.Clone(team.KeyHashes)
	team.Services = slices.Clone(team.Services)
	s.teams[team.Name] = &team
	for _, text := range team.KeyHashes {
		var hash KeyHash
		if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
			continue // cannot happen: Validate checks the hashes
		}
		prefix := binary.BigEndian.Uint64(hash[:])
		s.keysByPrefix[prefix] = append(s.keysByPrefix[prefix], teamKey{hash: hash, team: &team})
	}
}

// Revision returns the document's revision.
func (s *Snapshot) Revision() uint64 { return s.revision }

// InForce returns the preset in force.
func (s *Snapshot) InForce() *Preset { return s.inForce }

// Service returns the service of the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// ServiceByModel returns the service that offers the model.
func (s *Snapshot) ServiceByModel(model string) (*Service, bool) {
	service, ok := s.servicesByModel[model]
	return service, ok
}

// Team returns the team of the given name.
func (s *Snapshot) Team(name string) (*Team, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// Teams returns all teams, sorted by name.
func (s *Snapshot) Teams() []*Team {
	return slices.SortedFunc(maps.Values(s.teams), func(a, b *Team) int { return cmp.Compare(a.Name, b.Name) })
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []*Service {
	return slices.SortedFunc(maps.Values(s.services), func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
}

// TeamByKeyHash returns the team that has a bearer key with the hash.
func (s *Snapshot) TeamByKeyHash(hash KeyHash) (*Team, bool) {
	for _, key := range s.keysByPrefix[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(key.hash[:], hash[:]) == 1 {
			return key.team, true
		}
	}
	return nil, false
}

// Preset returns the preset of the given name.
func (s *Snapshot) Preset(name string) (*Preset, bool) {
	preset, ok := s.presets[name]
	return preset, ok
}

// MayCall reports whether the team may call the service.
func (t *Team) MayCall(service string) bool {
	return slices.Contains(t.Services, service)
}
