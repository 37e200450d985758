package standin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"knapweedhoist/cloud"
	"knapweedhoist/roster"
)

// loopbackAnyPort is a loopback address whose port the operating system chooses.
const loopbackAnyPort = "127.0.0.1:0"

// Fleet is a small deployment of stand-ins on loopback addresses: one object API,
// one cloud and one lagging list, with engines and plain services spread over
// data centres. The endpoints are instances of Cloud, so that a reclaim, a stop
// or a start in Cloud also changes the endpoints and the lagging list.
type Fleet struct {
	Platform *Platform
	Cloud    *Cloud
	Roster   *Roster

	lg       *slog.Logger
	cfg      FleetConfig
	lifetime context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex // guards the fields below
	members map[string]Member
	removed []Member
}

// NewFleet returns a Fleet that is not yet started.
func NewFleet(lg *slog.Logger, cfg FleetConfig) *Fleet {
	cfg = cfg.withDefaults()
	f := &Fleet{lg: lg, cfg: cfg, members: make(map[string]Member)}
	f.lifetime, f.cancel = context.WithCancel(context.Background())
	f.Platform = NewPlatform(lg, cfg.Platform)
	f.Roster = NewRoster(lg, cfg.Roster)
	cloudConfig := cfg.Cloud
	cloudConfig.Launch, cloudConfig.Leaving, cloudConfig.Ended = f.launchEndpoint, f.handleNotice, f.handleStop
	f.Cloud = NewCloud(lg, cloudConfig)
	return f
}

// Start starts the platform, the cloud, the list and the endpoints. The list shows
// the endpoints without its usual lag.
func (f *Fleet) Start() error {
	parts := []interface{ Start(string) error }{f.Platform, f.Cloud, f.Roster}
	for _, part := range parts {
		if err := part.Start(loopbackAnyPort); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	if err := f.startEndpoints(); err != nil {
		return errors.Join(err, f.Close())
	}
	for _, member := range f.Members() {
		f.Roster.Set(member.Entry)
	}
	f.Roster.ApplyPending()
	return nil
}

func (f *Fleet) startEndpoints() error {
	for i := range f.cfg.Engines {
		if err := f.startInitial(i, f.cfg.ModelService, ClassAccelerator); err != nil {
			return err
		}
	}
	for i := range f.cfg.Services {
		if err := f.startInitial(i, f.cfg.PlainService, ClassGeneral); err != nil {
			return err
		}
	}
	return nil
}

// startInitial starts the i-th initial endpoint of a service. Data centres are assigned round-robin.
func (f *Fleet) startInitial(i int, service, class string) error {
	_, err := f.Cloud.StartInstance(f.lifetime, cloud.StartOrder{
		OperationID: fmt.Sprintf("first-%s-%d", service, i), Service: service, Class: class,
		Zone: f.cfg.Datacentres[i%len(f.cfg.Datacentres)], Reclaimable: true,
	})
	return err
}

// launchEndpoint starts the endpoint of a new instance. An instance without a service
// is an entry instance, which the Launch of FleetConfig.Cloud starts.
func (f *Fleet) launchEndpoint(instance cloud.Instance) (string, error) {
	if instance.Service == "" {
		return f.cfg.Cloud.Launch(instance)
	}
	member := Member{Entry: rosterEntry(instance, ulid.Make().String())}
	if instance.Service == f.cfg.ModelService {
		member.Engine = NewEngine(f.lg, f.cfg.Engine)
	} else {
		member.Service = NewService(f.lg, f.cfg.Service)
	}
	if err := member.endpoint().Start(loopbackAnyPort); err != nil {
		return "", err
	}
	member.Entry.Address = member.endpoint().Addr()
	f.mu.Lock()
	f.members[instance.ID] = member
	f.mu.Unlock()
	runAfter(f.lifetime, f.cfg.Clock, f.cfg.Cloud.StartTime, func() { f.announce(instance.ID) })
	return member.Entry.Address, nil
}

// announce adds a member to the list unless it was removed or got a reclaim notice in the meantime.
func (f *Fleet) announce(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if member, ok := f.members[id]; ok && member.Entry.State == roster.StateLive {
		f.Roster.Set(member.Entry)
	}
}

// handleNotice forwards a reclaim notice to the endpoint and removes the endpoint when the notice expires.
func (f *Fleet) handleNotice(instance cloud.Instance, notice time.Duration) {
	if instance.Service == "" {
		f.cfg.Cloud.Leaving(instance, notice)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	member, ok := f.members[instance.ID]
	if !ok {
		return
	}
	member.Entry.State = roster.StateLeaving
	f.members[instance.ID] = member
	f.Roster.Set(member.Entry)
	member.endpoint().Leave(notice)
	runAfter(f.lifetime, f.cfg.Clock, notice, func() { f.remove(instance.ID) })
}

func (f *Fleet) handleStop(instance cloud.Instance) {
	if instance.Service == "" {
		f.cfg.Cloud.Ended(instance)
		return
	}
	f.remove(instance.ID)
}

// remove closes a member's endpoint immediately and removes the member from the list.
func (f *Fleet) remove(id string) {
	member, ok := f.detach(id)
	if !ok {
		return
	}
	_ = member.endpoint().Close()
	f.Roster.Remove(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed = append(f.removed, member)
}

func (f *Fleet) detach(id string) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	member, ok := f.members[id]
	delete(f.members, id)
	return member, ok
}

// Members returns the endpoints that have not been removed, sorted by id.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]Member, 0, len(f.members))
	for _, member := range f.members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Entry.ID < members[j].Entry.ID })
	return members
}

// Removed returns the endpoints that have been removed. Their records of attempts
// and executions stay readable.
func (f *Fleet) Removed() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.removed)
}

// Close immediately stops all endpoints, the cloud, the list and the platform.
func (f *Fleet) Close() error {
	f.cancel()
	for _, member := range f.Members() {
		f.remove(member.Entry.ID)
	}
	return errors.Join(f.Cloud.Close(), f.Roster.Close(), f.Platform.Close())
}
