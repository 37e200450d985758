package entry

import "time"

// pace spaces the messages of one type so that their bytes stay within a budget.
type pace struct {
	// bytesPerSecond is the budget.
	bytesPerSecond float64
	// interval is the time between the last message and the next one, which is due at nextAt.
	interval time.Duration
	nextAt   time.Time
}

// Budgets of the messages.
const (
	// reportBytesPerSecond is for the reports of one instance to its aggregators.
	reportBytesPerSecond = 5 << 10
	// digestBytesPerSecond is for the digests to one member.
	digestBytesPerSecond = 10 << 10
	// summaryBytesPerSecond is for the summaries of one aggregator to all others.
	summaryBytesPerSecond = 128 << 10
)

func newPace(bytesPerSecond float64) pace {
	return pace{bytesPerSecond: bytesPerSecond, interval: controlInterval}
}

// due reports whether the next message is due.
func (p *pace) due(now time.Time) bool { return !now.Before(p.nextAt) }

// sent records that a message of the given size was sent and sets the time of the next one.
func (p *pace) sent(now time.Time, bytes int) {
	p.interval = min(max(time.Duration(float64(bytes)/p.bytesPerSecond*float64(time.Second)), controlInterval), maxMessageInterval)
	// The control loop runs slightly late; without the tolerance every message would wait for one more iteration.
	p.nextAt = now.Add(p.interval - paceTolerance)
}

const (
	// maxMessageInterval is the longest time between two messages of a type.
	maxMessageInterval = 600 * time.Millisecond
	paceTolerance      = 20 * time.Millisecond
)
