package objectwatch

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/objectapi"
	"knapweedhoist/standin"
)

// returningStore is a store that returns from an older copy before the second watch, and ends the run after lastWatch.
type returningStore struct {
	*standin.Platform
	watches  int
	onReturn func()
	cancel   context.CancelFunc
}

// lastWatch is the number of watches in a run. The last ones see no change.
const lastWatch = 5

// Do implements objectapi.Store. A watch does not wait.
func (s *returningStore) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	if request.Op == objectapi.OpWatch {
		request.Wait = 0
		switch s.watches++; s.watches {
		case 2:
			s.onReturn()
		case lastWatch:
			s.cancel()
		}
	}
	return s.Platform.Do(ctx, request)
}

// copySink keeps the values of the objects by name.
type copySink struct {
	recordingSink
	values map[string]string
}

func (s *copySink) Replace(objects []objectapi.Object, _ objectapi.Position) {
	s.values = make(map[string]string)
	for _, object := range objects {
		s.values[object.Name] = string(object.Value)
	}
}

func (s *copySink) Apply(events []objectapi.WatchEvent, _ objectapi.Position) {
	for _, event := range events {
		delete(s.values, event.Object.Name)
		if !event.Deleted {
			s.values[event.Object.Name] = string(event.Object.Value)
		}
	}
}

// Guards against a change confirmed after a return of the store from an older copy that never arrives: when the new history has
// passed the version to watch from before the next call, the store does not answer that this version is gone.
func TestChangesAfterReturn(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		for before := range 3 {
			for after := range 4 {
				t.Run(fmt.Sprintf("%d lost, %d written before the change, %d after it", lost, before, after), func(t *testing.T) {
					checkChangeAfterReturn(t, lost, before, after)
				})
			}
		}
	}
}

func checkChangeAfterReturn(t *testing.T, lost, before, after int) {
	g := NewWithT(t)
	const copyAge = time.Second
	clock := standin.NewManualClock(time.Unix(1000, 0))
	platform := standin.NewPlatform(slog.New(slog.DiscardHandler), standin.PlatformConfig{Clock: clock})
	write := func(kind objectapi.Kind, name, value string) {
		_, err := platform.Apply(objectapi.Request{Op: objectapi.OpPut, Kind: kind, Name: name, Value: []byte(value)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	writeOthers := func(count int) {
		for n := range count {
			write(objectapi.KindEndpoint, fmt.Sprintf("endpoint-%d", n), "again")
		}
	}
	write(objectapi.KindDeployment, "main", "first")
	clock.Advance(2 * copyAge)
	for n := range lost {
		write(objectapi.KindEndpoint, fmt.Sprintf("endpoint-%d", n), "lost")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &returningStore{Platform: platform, cancel: cancel, onReturn: func() {
		platform.Restore(copyAge)
		writeOthers(before)
		write(objectapi.KindDeployment, "main", "confirmed")
		writeOthers(after)
	}}
	sink := &copySink{}
	NewWatcher(slog.New(slog.DiscardHandler), Config{Kind: objectapi.KindDeployment, Backoff: time.Nanosecond, MaxBackoff: time.Nanosecond}, store, sink).Run(ctx)
	g.Expect(sink.values).To(Equal(map[string]string{"main": "confirmed"}))
}
