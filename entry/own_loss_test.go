package entry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
)

const (
	simAnswer = 5 * time.Millisecond
	// simCallTimeout and simWatchMargin are those of the platform's store, see time_bounds_test.go.
	simCallTimeout, simWatchMargin = 1500 * time.Millisecond, 700 * time.Millisecond
	// simResend is when a connection request that was lost is sent again.
	simResend = time.Second
	// simContact is the time after a disruption from which the bounds hold again.
	simContact = 3 * time.Second
	simStep    = 10 * time.Millisecond
)

// span is a time of a run, relative to its start. length 0 is a moment.
type span struct{ at, length time.Duration }

func (s span) contains(t time.Duration) bool { return t >= s.at && t < s.at+s.length }

// simStore answers the watches of one instance on the clock of the bubble. Calls block as on a real network: open connections
// never recover from a disruption.
type simStore struct {
	start time.Time
	// cuts are the times without a connection, silences those at which all open connections go silent.
	cuts, silences []span
	// changes holds the times at which the endpoint "a" is deleted (even) and registered again (odd).
	changes []time.Duration
}

func (s *simStore) now() time.Duration { return time.Since(s.start) }

func (s *simStore) cutAt(t time.Duration) bool {
	for _, cut := range s.cuts {
		if cut.contains(t) {
			return true
		}
	}
	return false
}

// silencedBetween reports whether a connection that is opened at from is dead at to.
func (s *simStore) silencedBetween(from, to time.Duration) bool {
	for _, d := range append(append([]span{}, s.cuts...), s.silences...) {
		if d.at > from && d.at <= to {
			return true
		}
	}
	return false
}

func (s *simStore) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	if s.cutAt(s.now()) {
		wait.For(ctx, simResend)
		if s.cutAt(s.now()) {
			wait.For(ctx, simCallTimeout-simResend)
			return objectapi.Reply{}, objectapi.ErrUnavailable
		}
	}
	opened := s.now()
	next, waited := opened, time.Duration(0)
	if request.Op == objectapi.OpWatch {
		next, waited = s.after(request.From.Version, opened+request.Wait)
	}
	next = max(next, opened) + simAnswer
	if s.silencedBetween(opened, next) {
		wait.For(ctx, request.Wait+simWatchMargin)
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	wait.For(ctx, next-opened)
	return s.reply(request, waited), nil
}

// after returns the time of the first change after a version, at most end, and how long the answer waits then.
func (s *simStore) after(from objectapi.Version, end time.Duration) (at, waited time.Duration) {
	if n := int(from) - 1; n < len(s.changes) && s.changes[n] < end {
		return s.changes[n], 0
	}
	return end, end - s.now()
}

func (s *simStore) reply(request objectapi.Request, waited time.Duration) objectapi.Reply {
	reply := objectapi.Reply{Version: 1, Waited: waited}
	objects := map[string]bool{"a": true, "b": true}
	for n, at := range s.changes {
		if at > s.now() {
			break
		}
		reply.Version = objectapi.Version(n + 2)
		deleted := n%2 == 0
		objects["a"] = !deleted
		if request.Op == objectapi.OpWatch && reply.Version > request.From.Version {
			reply.Events = append(reply.Events, objectapi.WatchEvent{Deleted: deleted, Object: objectapi.Object{Name: "a"}})
		}
	}
	for _, name := range []string{"a", "b"} {
		if request.Op == objectapi.OpList && objects[name] {
			reply.Objects = append(reply.Objects, objectapi.Object{Name: name})
		}
	}
	return reply
}

// ownLoss is one run of an instance that loses the store.
type ownLoss struct {
	store simStore
	// away holds the times at which no instance reaches the store.
	away []span
	// relayCut is the time without the relay and the substitute.
	relay    bool
	relayCut span
	// substitute is set if another instance is known that reaches the store.
	substitute bool
	// offset is the start of the watch, which moves the phase of its waits.
	offset time.Duration
}

// configAge returns the age that the reports of the other instances state. They watch the configuration with equal waits.
func (o ownLoss) configAge(wait time.Duration) time.Duration {
	now := o.store.now()
	for _, away := range o.away {
		if now >= away.at && now < away.at+away.length+confirmDelay {
			return wait/2 + now - away.at
		}
	}
	return now % wait
}

// play runs the watch and returns, per simStep, whether the endpoint "a" is listed and whether it is listed and not Unconfirmed.
func (o ownLoss) play(t *testing.T, length time.Duration) (listed, used []bool) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		settings, lg := DefaultSettings(), slog.New(slog.DiscardHandler)
		o.store.start = time.Now()
		state := deployment.NewState()
		sink := newEndpointSink(lg, Adapter{DecodeEndpoint: func(name string, _ []byte) (*deployment.Endpoint, error) {
			return &deployment.Endpoint{ID: name}, nil
		}}, state, endpointSinkConfig{
			now: time.Now, configAge: func() time.Duration { return o.configAge(settings.watchWait()) },
			absenceLimit: settings.absenceLimit(), onRestart: func(string) {},
		})
		relayStore := simStore{start: o.store.start, changes: o.store.changes, cuts: []span{o.relayCut}}
		source := objectrelay.NewSource(lg, objectrelay.SourceConfig{
			RelayWait: settings.relayWait(), SharedGap: settings.sharedWatchGap(), SharedWait: settings.sharedWatchWait(),
			Backoff: relayBackoff, Now: time.Now,
		}, &o.store, func(ctx context.Context, _ string, request objectapi.Request) (objectapi.Reply, error) {
			if relayStore.cutAt(relayStore.now()) || relayStore.silencedBetween(relayStore.now(), relayStore.now()+request.Wait) {
				wait.For(ctx, settings.relayWait()+settings.relayMargin())
				return objectapi.Reply{}, context.DeadlineExceeded
			}
			return relayStore.Do(ctx, request)
		}, func() (route objectrelay.Route) {
			if o.relay {
				route.Relays = []string{"relay"}
			}
			if o.substitute {
				route.Substitutes = []string{"substitute"}
			}
			return route
		})
		watcher := objectwatch.NewWatcher(lg, objectwatch.Config{Kind: objectapi.KindEndpoint, Wait: settings.watchWait()}, source, sink)
		go func() {
			wait.For(ctx, o.offset)
			watcher.Run(ctx)
		}()
		for n := 0; o.store.now() < length; n++ {
			time.Sleep(simStep)
			if n%int(controlInterval/simStep) == 0 {
				sink.tick()
			}
			endpoint := state.View().Endpoints["a"]
			listed = append(listed, endpoint != nil)
			used = append(used, endpoint != nil && !endpoint.Unconfirmed)
		}
		cancel()
	})
	return listed, used
}

// lastTrue returns the end of the last step that is set.
func lastTrue(steps []bool) time.Duration {
	for n := len(steps) - 1; n >= 0; n-- {
		if steps[n] {
			return time.Duration(n+1) * simStep
		}
	}
	return 0
}

// Guards against requests to an endpoint whose entry was deleted while this instance alone had lost the store (fleetbench
// zapateo-ops review/3/day.toml, DRAIN): the loss moves through every phase of the watch, the dial and the back-off.
func TestDeletedEndpointGetsNoRequestAfterOwnLoss(t *testing.T) {
	t.Parallel()
	// period covers a dial, a read of another instance and the longest back-off, or a watch with its margin.
	const period = 3000 * time.Millisecond
	const deletedAt = 5 * time.Second
	second := func(o *ownLoss, d span) { o.store.cuts = append(o.store.cuts, d) }
	for _, c := range []struct {
		name string
		loss func(phase time.Duration) ownLoss
		// end returns the end of the last disruption, from which simContact counts. nil: the bound holds all the while.
		end func(phase time.Duration) time.Duration
	}{
		{name: "the waiting watch alone", loss: func(phase time.Duration) ownLoss {
			return ownLoss{store: simStore{silences: []span{{at: deletedAt - phase}}}}
		}},
		{name: "a watch at every phase of its wait", loss: func(phase time.Duration) ownLoss {
			return ownLoss{offset: phase, store: simStore{silences: []span{{at: deletedAt - simStep}}}}
		}},
		{name: "a waiting watch, and the next one", loss: func(phase time.Duration) ownLoss {
			return ownLoss{store: simStore{silences: []span{{at: deletedAt - phase}, {at: deletedAt - phase + 1900*time.Millisecond}}}}
		}, end: func(phase time.Duration) time.Duration { return deletedAt - phase + 1900*time.Millisecond }},
		{name: "a cut", loss: func(phase time.Duration) ownLoss {
			return ownLoss{store: simStore{cuts: []span{{at: time.Second, length: deletedAt - time.Second + phase}}}}
		}, end: func(phase time.Duration) time.Duration { return deletedAt + phase }},
		{name: "a cut, and a silent connection right after it", loss: func(phase time.Duration) ownLoss {
			o := ownLoss{store: simStore{silences: []span{{at: deletedAt + period/2}}}}
			second(&o, span{at: time.Second, length: deletedAt - time.Second - period/2 + phase})
			return o
		}, end: func(phase time.Duration) time.Duration { return deletedAt + max(period/2, phase-period/2) }},
		{name: "a cut, while another instance reaches the store", loss: func(phase time.Duration) ownLoss {
			return ownLoss{substitute: true, store: simStore{cuts: []span{{at: deletedAt - phase, length: time.Minute}}}}
		}},
		{name: "a cut at every phase of the watch, while another instance reaches the store", loss: func(phase time.Duration) ownLoss {
			return ownLoss{offset: phase, substitute: true, store: simStore{cuts: []span{{at: deletedAt - simStep, length: time.Minute}}}}
		}},
		{name: "a cut, and another instance that cannot be reached", loss: func(phase time.Duration) ownLoss {
			o := ownLoss{substitute: true, relayCut: span{length: time.Minute}}
			second(&o, span{at: time.Second, length: deletedAt - time.Second + phase})
			return o
		}, end: func(phase time.Duration) time.Duration { return deletedAt + phase }},
		{name: "the relay", loss: func(phase time.Duration) ownLoss {
			return ownLoss{relay: true, relayCut: span{at: deletedAt - phase, length: time.Minute}}
		}},
		{name: "the relay at every phase of its wait", loss: func(phase time.Duration) ownLoss {
			return ownLoss{offset: phase, relay: true, relayCut: span{at: deletedAt - simStep, length: time.Minute}}
		}},
		{name: "the relay and a cut of the store", loss: func(phase time.Duration) ownLoss {
			o := ownLoss{relay: true, relayCut: span{at: deletedAt - 2*time.Second, length: time.Minute}}
			second(&o, span{at: time.Second, length: deletedAt - time.Second + phase})
			return o
		}, end: func(phase time.Duration) time.Duration { return deletedAt + phase }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for phase := time.Duration(0); phase <= period; phase += simStep {
				o := c.loss(phase)
				o.store.changes = []time.Duration{deletedAt}
				bound := deletedAt + milliseconds(DefaultSettings().LeaveMS)
				if c.end != nil {
					bound = max(bound, c.end(phase)+simContact)
				}
				listed, _ := o.play(t, deletedAt+2*period+simContact)
				if last := lastTrue(listed); last < deletedAt || last > bound {
					t.Errorf("phase %v: listed until %v, deleted at %v, bound %v", phase, last, deletedAt, bound)
				}
			}
		})
	}
}

// Guards against the loss of an endpoint whose entry expires in an outage of the store and comes back within the time that the
// platform states, whatever the phase of the outage.
func TestExpiredEndpointIsKeptAfterOutage(t *testing.T) {
	t.Parallel()
	const from, period = 4 * time.Second, 2400 * time.Millisecond
	for phase := time.Duration(0); phase <= period; phase += simStep {
		length := 3*time.Second + phase
		back := from + length
		o := ownLoss{
			store: simStore{
				cuts: []span{{at: from, length: length}}, changes: []time.Duration{back - time.Second, back + 1900*time.Millisecond},
			},
			away: []span{{at: from, length: length}},
		}
		listed, used := o.play(t, back+4*time.Second)
		for n := range listed {
			if at := time.Duration(n+1) * simStep; at > time.Second && !listed[n] {
				t.Fatalf("phase %v: not listed at %v, the store is back at %v", phase, at, back)
			}
		}
		if !used[len(used)-1] {
			t.Errorf("phase %v: still unconfirmed at the end", phase)
		}
	}
}
