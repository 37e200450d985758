package entry

import (
	"context"
	"log/slog"
	"math"
	"net"
	"time"

	"knapweedhoist/forward"
	"knapweedhoist/objectwatch"
	"knapweedhoist/upstream"
)

// StoreTimes holds the times of the chain from a change of the store to an instance that reads it.
type StoreTimes struct {
	Bound, WatchWait, RelayWait, RelayMargin, SharedGap, ControlInterval, AbsenceLimit time.Duration
	FirstBackoff, MaxBackoff, SimCallTimeout, SimWatchMargin                           time.Duration
	FindLimit, OriginStoreInterval                                                     time.Duration
}

// DefaultStoreTimes returns the times of the default settings, those of the smallest deployments.
func DefaultStoreTimes() StoreTimes {
	s := DefaultSettings()
	return StoreTimes{
		Bound: milliseconds(min(s.ApplyMS, s.LeaveMS)), WatchWait: s.watchWait(), RelayWait: s.relayWait(), RelayMargin: s.relayMargin(),
		SharedGap: s.sharedWatchGap(), ControlInterval: controlInterval, AbsenceLimit: s.absenceLimit(),
		FirstBackoff: objectwatch.DefaultBackoff, MaxBackoff: objectwatch.DefaultMaxBackoff,
		SimCallTimeout: simCallTimeout, SimWatchMargin: simWatchMargin,
		FindLimit: findLimit, OriginStoreInterval: originStoreInterval,
	}
}

// MemoryBounds holds what the parts of an instance may hold, in bytes.
type MemoryBounds struct {
	Connections, Bodies, Answers, Histories, Origins int
}

// MemoryBoundsOf returns the bounds of an instance on a machine with memoryMB of memory and descriptors without a limit.
func MemoryBoundsOf(memoryMB int) MemoryBounds {
	s := DefaultSettings()
	s.MemoryMB, s.MaxDescriptors = memoryMB, math.MaxInt32
	kinds := len(New(slog.New(slog.DiscardHandler), s, Adapter{}).copies)
	return MemoryBounds{
		Connections: s.maxCallerConnections() * forward.ConnectionBytes, Bodies: s.maxBodyMemory(), Answers: s.maxAnswerMemory(), Histories: kinds * s.maxHistoryBytes(),
		Origins: s.maxOriginMemory(),
	}
}

// NewWithDial returns an instance that opens connections to endpoints with dial.
func NewWithDial(
	lg *slog.Logger, settings Settings, adapter Adapter, dial func(ctx context.Context, address string) (net.Conn, error),
) *Instance {
	return newInstance(lg, settings, adapter, upstream.Config{Dial: dial})
}

// OriginsOf returns what an instance knows of the origins of streams.
func OriginsOf(i *Instance) forward.Origins { return i.origins }
