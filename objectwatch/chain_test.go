package objectwatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"knapweedhoist/clock"
	"knapweedhoist/objectapi"
	"knapweedhoist/objectera"
	"knapweedhoist/objectrelay"
	"knapweedhoist/objectwatch"
	"knapweedhoist/standin"
	"knapweedhoist/testutil"
)

func init() { testutil.ConfigureRapid("1000") }

const chainKind = objectapi.KindEndpoint

// chainStore is the store of the chain. Its watches do not wait, and it does not answer while away is set.
type chainStore struct {
	*standin.Platform
	away bool
}

func (s *chainStore) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	if s.away {
		return objectapi.Reply{}, objectapi.ErrUnavailable
	}
	request.Wait = 0
	return s.Platform.Do(ctx, request)
}

// chainSink is a copy of the objects that checks that its position never goes back.
type chainSink struct {
	t        *rapid.T
	values   map[string]string
	position objectapi.Position
}

func (s *chainSink) Replace(objects []objectapi.Object, position objectapi.Position) {
	if position.Era < s.position.Era {
		s.t.Fatalf("list of era %d after %d", position.Era, s.position.Era)
	}
	s.values, s.position = make(map[string]string), position
	for _, object := range objects {
		s.values[object.Name] = string(object.Value)
	}
}

func (s *chainSink) Apply(events []objectapi.WatchEvent, position objectapi.Position) {
	if position.Era != s.position.Era || s.position.After(position) {
		s.t.Fatalf("changes of %v after %v", position, s.position)
	}
	s.position = position
	for _, event := range events {
		if event.Deleted {
			delete(s.values, event.Object.Name)
		} else {
			s.values[event.Object.Name] = string(event.Object.Value)
		}
	}
}

func (*chainSink) Confirm(time.Duration) {}
func (*chainSink) WatchLost(error)       {}
func (*chainSink) WatchRegained()        {}

// Guards against changes that are missed, or a former history that comes back, at an instance that reads the store or two relays by
// turns, while the store returns from older copies, is away, forgets its history, and relays are behind.
func TestCopiesOverReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lg, ctx := slog.New(slog.DiscardHandler), context.Background()
		now := standin.NewManualClock(time.Unix(1000, 0))
		store := &chainStore{Platform: standin.NewPlatform(lg, standin.PlatformConfig{Clock: now, PageObjects: 2})}
		watcher := func(source objectapi.Store, era *objectera.Store, sink objectwatch.Sink) *objectwatch.Watcher {
			return objectwatch.NewWatcher(lg, objectwatch.Config{Kind: chainKind, Era: era.Watch}, source, sink)
		}
		relays, relayWatchers := make(map[string]*objectrelay.Copy), make(map[string]*objectwatch.Watcher)
		for _, name := range []string{"relay-1", "relay-2"} {
			era := objectera.NewStore(lg, metrics.NewRegistry(), store)
			relays[name] = objectrelay.NewCopy(objectrelay.CopyConfig{Kind: chainKind, MaxAge: time.Hour, Now: clock.Now}, &chainSink{t: t})
			relayWatchers[name] = watcher(era, era, relays[name])
		}
		var route objectrelay.Route
		era, sink := objectera.NewStore(lg, metrics.NewRegistry(), store), &chainSink{t: t}
		source := objectrelay.NewSource(lg, objectrelay.SourceConfig{Now: clock.Now}, era,
			func(ctx context.Context, relay string, request objectapi.Request) (objectapi.Reply, error) {
				request.Wait = 0
				return relays[relay].Do(ctx, request)
			}, func() objectrelay.Route { return route })
		reader := watcher(source, era, sink)
		write := func() {
			request := objectapi.Request{Op: objectapi.OpPut, Kind: chainKind, Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")}
			if rapid.IntRange(0, 4).Draw(t, "other kind") == 0 {
				request.Kind = objectapi.KindLease
			}
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				request.Op = objectapi.OpDelete
			}
			request.Value = fmt.Append(nil, rapid.IntRange(0, 1000).Draw(t, "value"))
			_, _ = store.Apply(request) // a delete of an absent object changes nothing
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); step {
			case 0, 1, 2:
				write()
			case 3:
				now.Advance(time.Second)
			case 4:
				store.Restore(time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second)
			case 5:
				store.away = !store.away
			case 6:
				if rapid.IntRange(0, 4).Draw(t, "compact") == 0 {
					store.Compact()
				}
			case 7:
				route.Relays = rapid.SampledFrom([][]string{nil, {"relay-1"}, {"relay-2"}, {"relay-1", "relay-2"}}).Draw(t, "relays")
			case 8:
				relayWatchers[rapid.SampledFrom([]string{"relay-1", "relay-2"}).Draw(t, "relay")].Step(ctx)
			default:
				reader.Step(ctx)
			}
		}
		store.away = false
		for range 40 { // an answer has two changes at most
			for _, name := range []string{"relay-1", "relay-2"} {
				relayWatchers[name].Step(ctx)
			}
			reader.Step(ctx)
		}
		want := make(map[string]string)
		for after, last := "", false; !last; {
			reply, err := store.Apply(objectapi.Request{Op: objectapi.OpList, Kind: chainKind, After: after})
			if err != nil {
				t.Fatal(err)
			}
			for _, object := range reply.Objects {
				want[object.Name] = string(object.Value)
			}
			after, last = reply.Next, reply.Next == ""
		}
		if !maps.Equal(sink.values, want) {
			t.Fatalf("the copy has %v at %v, the store %v in era %d", sink.values, sink.position, want, store.Era())
		}
	})
}
