package knapweedhoist

import (
	"context"
	"time"

	"knapweedhoist/backend"
	"knapweedhoist/engine"
	"knapweedhoist/membership"
	"knapweedhoist/routing"
	"knapweedhoist/timeline"
)

// feedback reports the progress of one attempt to the routing table, the
// timeline and the retry policy.
type feedback struct {
	policy         *policy
	choice         routing.Choice
	work           routing.Work
	requestID      string
	attempt        int
	routingAttempt routing.Attempt
	// sentAt is zero until the attempt is sent.
	sentAt time.Time
}

// Sent implements backend.Feedback.
func (f *feedback) Sent(now time.Time) {
	f.routingAttempt = f.policy.table.RecordSent(now, f.choice, f.work)
	f.sentAt = now
}

// FirstToken implements backend.Feedback.
func (f *feedback) FirstToken(now time.Time) {
	f.policy.table.RecordFirstToken(now, &f.routingAttempt)
	f.policy.instance.ring.Record(timeline.Event{
		Kind: timeline.KindFirstToken, Request: f.requestID, Attempt: f.attempt, Endpoint: f.choice.Endpoint.ID,
		Detail: now.Sub(f.sentAt).Round(time.Millisecond).String(),
	})
	if f.work.Short {
		f.policy.retries.RecordFirstToken(f.work.Service, now.Sub(f.sentAt))
	}
}

// Token implements backend.Feedback.
func (f *feedback) Token(now time.Time) {
	f.policy.table.RecordToken(now, &f.routingAttempt)
}

// Finished implements backend.Feedback.
func (f *feedback) Finished(now time.Time, _ backend.Report) {
	if !f.sentAt.IsZero() {
		f.policy.table.RecordFinished(now, &f.routingAttempt)
	}
}

// readCacheEvents applies the new cache events of an endpoint to the routing
// table. After a failed read the cursor stays, so that the next read repeats it.
func (p *policy) readCacheEvents(ctx context.Context, e *membership.Endpoint, client *engine.Client) {
	key := endpointKey(e)
	p.mu.Lock()
	from := p.cursors[key]
	p.mu.Unlock()
	events, err := client.CacheEvents(ctx, from)
	if err != nil {
		return
	}
	for _, event := range events {
		from = max(from, event.Sequence)
		p.table.ApplyCacheEvent(key, event)
	}
	p.mu.Lock()
	p.cursors[key] = from
	p.mu.Unlock()
}
