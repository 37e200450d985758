package fleetstate

import "time"

// mergedMessage is a message that covers several instances.
type mergedMessage interface {
	Summary | Digest
	// coverage returns the sender and the number of instances that the message covers.
	coverage() (sender Sender, live int)
}

func (s Summary) coverage() (Sender, int) { return s.Sender, s.Live }

func (d Digest) coverage() (Sender, int) { return d.Sender, d.Live }

// received is the last message of one aggregator.
type received[M mergedMessage] struct {
	message    M
	receivedAt time.Time
}

func (r received[M]) fresh(now time.Time) bool {
	sender, _ := r.message.coverage()
	return now.Sub(r.receivedAt) <= timeout(sender.Interval)
}

func (r received[M]) betterThan(other received[M]) bool {
	sender, live := r.message.coverage()
	otherSender, otherLive := other.message.coverage()
	if live != otherLive {
		return live > otherLive
	}
	if !r.receivedAt.Equal(other.receivedAt) {
		return r.receivedAt.After(other.receivedAt)
	}
	return sender.Source.Instance < otherSender.Source.Instance
}

// bestOf returns the recent message that covers the most instances, the newest one of several, or false if none is recent.
func bestOf[M mergedMessage](messages map[string]received[M], now time.Time) (M, bool) {
	var best received[M]
	for _, message := range messages {
		if message.fresh(now) && message.betterThan(best) {
			best = message
		}
	}
	return best.message, !best.receivedAt.IsZero()
}
