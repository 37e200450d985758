package entry

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedhoist/forward"
	"knapweedhoist/gossip"
	"knapweedhoist/streamorigin"
)

const (
	// findLimit is how long a request waits for the origin of its stream.
	findLimit = 500 * time.Millisecond
	// originPeers is the number of instances that origins are sent to directly. In larger fleets they are sent within the data centre.
	originPeers = 31
	// originBytesPerSecond is for the origins that one instance sends to all others.
	originBytesPerSecond = 512 << 10
)

// origins finds out at which software version a stream began that a caller takes up. While several versions of a service are in
// service, it shares with the other instances where the streams of this one began: in messages, and in the store, so that the
// origins outlive a restart of all instances. It is safe for concurrent use, except update.
type origins struct {
	lg        *slog.Logger
	now       func() time.Time
	directory *streamorigin.Directory
	// awaited is the number of requests that wait for an origin; wake tells the store's loop that there is one.
	awaited atomic.Int64
	wake    chan struct{}
	unknown metrics.Counter
	// pace spaces the messages. It belongs to the control loop.
	pace pace

	mu sync.Mutex
	// learned is closed and replaced when something was learnt from others.
	learned chan struct{}
}

var _ forward.Origins = (*origins)(nil)

// newOrigins returns origins that take the listed endpoints for complete up to the age maxAge, and at most maxMemory bytes.
func newOrigins(lg *slog.Logger, now func() time.Time, maxAge time.Duration, maxMemory int, registry metrics.Registry) *origins {
	o := &origins{
		lg: lg, now: now, directory: streamorigin.NewDirectory(maxAge, maxMemory), wake: make(chan struct{}, 1),
		unknown: metrics.NewRegisteredCounter("stream_origins_unknown", registry), learned: make(chan struct{}),
		pace: newPace(originBytesPerSecond),
	}
	_ = metrics.NewRegisteredFunctionalGauge("stream_origins", registry, func() int64 { return int64(o.directory.Remembered()) })
	return o
}

// Record implements forward.Origins.
func (o *origins) Record(id string, origin streamorigin.Origin, until time.Time) {
	o.directory.Record(o.now(), id, origin, until)
}

// Find implements forward.Origins.
func (o *origins) Find(ctx context.Context, id, service string) (streamorigin.Origin, error) {
	begin := o.now()
	origin, answer := o.directory.Find(begin, begin, id, service)
	if answer == streamorigin.Known {
		return origin, nil
	}
	o.awaited.Add(1)
	defer o.awaited.Add(-1)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	limit := time.NewTimer(findLimit)
	defer limit.Stop()
	for waiting := true; waiting; {
		learned := o.learnedSignal()
		if origin, answer = o.directory.Find(o.now(), begin, id, service); answer == streamorigin.Known {
			return origin, nil
		}
		if answer == streamorigin.Ambiguous || id == "" && answer == streamorigin.Mixed {
			break
		}
		select {
		case <-learned:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	o.unknown.Inc(1)
	o.lg.Warn("stream origin unknown", "id", id, "service", service, "reason", answer.String(), "mixed", o.directory.Mixed(),
		"shared_unread", o.directory.Unread(), "waited_ms", o.now().Sub(begin).Milliseconds())
	return streamorigin.Origin{}, streamorigin.ErrUnknown
}

// learnedSignal returns a channel that is closed when something is learnt next.
func (o *origins) learnedSignal() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.learned
}

// signal lets the waiting requests look again.
func (o *origins) signal() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.learned)
	o.learned = make(chan struct{})
}

// learn takes over what another instance states.
func (o *origins) learn(statement streamorigin.Statement) {
	o.directory.Learn(o.now(), statement)
	o.signal()
}

// update logs the services whose versions became several or one. It returns the versions to announce to all other instances, and
// the streams to state to some, now.
func (o *origins) update(now time.Time, connection streamorigin.Connection) (announced, stated streamorigin.Statement) {
	o.directory.ObserveConnection(now, connection)
	for _, change := range o.directory.Update(now) {
		message := "service has several software versions"
		if !change.Mixed {
			message = "service has one software version"
		}
		o.lg.Info(message, "service", change.Service, "versions", change.Versions)
	}
	if connection.Instances > 1 {
		announced = o.directory.TakeAnnouncement()
	}
	if o.pace.due(now) {
		stated = o.directory.TakeUnsent(now, gossip.MaxOrigins)
	}
	return announced, stated
}

// updateOrigins shares the origins of this instance's streams with the other instances.
func (i *Instance) updateOrigins(now time.Time) {
	status := i.fleet.Status(now)
	announced, stated := i.origins.update(now, streamorigin.Connection{
		Complete: status.Live >= status.Total, Instances: status.Total,
		StoreReached: len(i.freshPeers.addresses(now, i.settings.absenceLimit())) > 0,
	})
	if !announced.IsEmpty() {
		targets := i.fleet.Peers(now, math.MaxInt)
		i.lg.Info("software versions announced", "versions", announced.Versions(), "targets", len(targets))
		i.socket.SendOrigins(announced, targets)
	}
	if !stated.IsEmpty() {
		targets := i.fleet.Peers(now, originPeers)
		i.origins.pace.sent(now, len(targets)*i.socket.SendOrigins(stated, targets))
	}
}
