package forward

import (
	"log/slog"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/dispatch"
	"knapweedhoist/internal/defaults"
	"knapweedhoist/quarantine"
	"knapweedhoist/reach"
	"knapweedhoist/retrybudget"
	"knapweedhoist/teamlimit"
	"knapweedhoist/upstream"
)

// Config holds the timeouts and size limits of a Server. Zero fields are set to their defaults.
type Config struct {
	// MaxConfigAge bounds the time since the configuration was last confirmed to be
	// the newest. An unknown route or key is answered with 404 or 401 up to this
	// age, and with 503 beyond it. Default 2.5 s: the duration of one watch request
	// and its answer.
	MaxConfigAge time.Duration
	// MaxBodyBytes bounds a request's body, in addition to the limit of the platform's configuration. Default 16 MiB.
	MaxBodyBytes int
	// MaxAnswerMemory bounds the memory in bytes of all buffered answers and incomplete events of streams together, except
	// those of up to 16 KiB. Buffers above 2 MiB leave a quarter of it to smaller ones. Default 64 MiB.
	MaxAnswerMemory int
	// MaxBodyMemory bounds the memory in bytes of the bodies of all requests together, until their answers were passed on, except
	// bodies of up to 16 KiB. Large bodies leave a quarter of it to smaller ones. A request waits up to a second for the memory of
	// its body and is then refused. Default 64 MiB.
	MaxBodyMemory int
	// ReadTimeout bounds the time to read one request. Default 10 s.
	ReadTimeout time.Duration
	// StartWait is how long after NewServer requests wait until Deps.Started is closed. Later ones are refused at once while
	// the instance has no configuration. Default 1 s.
	StartWait time.Duration
	// IdleTimeout is how long a caller's connection may stay idle if the platform's configuration does not say. Default 2 min.
	IdleTimeout time.Duration
	// MaxConnections is the number of connections of callers above which the one that has waited longest for a request is
	// closed for each further one. If none is idle, the requests of the further ones are refused. 0 sets no limit.
	MaxConnections int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxConfigAge, 2500*time.Millisecond)
	defaults.Set(&c.ReadTimeout, 10*time.Second)
	defaults.Set(&c.StartWait, time.Second)
	defaults.Set(&c.IdleTimeout, 2*time.Minute)
	defaults.Set(&c.MaxBodyBytes, 16<<20)
	defaults.Set(&c.MaxAnswerMemory, 64<<20)
	defaults.Set(&c.MaxBodyMemory, 64<<20)
	return c
}

// Deps are the dependencies of a Server. All must be safe for concurrent use.
type Deps struct {
	Log      *slog.Logger
	Codec    HeaderCodec
	State    *deployment.State
	Balancer *dispatch.Balancer
	Limiter  *teamlimit.Limiter
	Budget   *retrybudget.Budget
	Pool     *upstream.Pool
	// Reach follows whether the endpoints answer this instance, Peers which other instances pass requests on meanwhile. PeerPool
	// has the connections to them. Requests are not passed on if they are nil.
	Reach    *reach.Monitor
	Peers    *reach.Peers
	PeerPool *upstream.Pool
	// Quarantine refuses requests, and prompt parts, that crash endpoints.
	Quarantine *quarantine.Guard
	Metrics    *Metrics
	// Started is closed once the instance has read the configuration, the endpoints and the list of instances. Requests do
	// not wait if it is nil.
	Started <-chan struct{}
	// RecordStart counts a request of the team as run. It is called at most once per request, when an endpoint's complete
	// answer or first event was read, and never for a request without a team.
	RecordStart func(team string)
	// Origins knows which software version began each stream. A caller may take a stream up at any endpoint if it is nil.
	Origins Origins
	// Instances returns the number of entry instances, this one included.
	Instances func() int
	// Now returns the time of package clock, which the limits, the retry budget and the configuration's age use.
	Now func() time.Time
	// Slot returns the current slot of the counts of limits, see fleetstate.SlotLength.
	Slot func() int64
	// Random returns a number in [0, 1).
	Random func() float64
}

func (d Deps) withDefaults() Deps {
	if d.Reach == nil || d.Peers == nil || d.PeerPool == nil {
		d.Reach, d.Peers = reach.NewMonitor(reach.Config{}), reach.NewPeers()
	}
	return d
}
