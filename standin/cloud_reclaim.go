package standin

import (
	"context"

	"knapweedhoist/cloud"
)

// retainedNotices is the number of newest notices that a Cloud always retains.
const retainedNotices = 4096

// Notices implements cloud.Cloud.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]cloud.Notice, error) {
	e, err := c.applyFaults(ctx, Call{Op: "notices"}, errThrottled)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.cfg.Clock.Now().Add(-e.lag)
	var notices []cloud.Notice
	for _, stamped := range c.notices {
		if stamped.notice.Sequence > after && !stamped.publishedAt.After(until) {
			notices = append(notices, stamped.notice)
		}
	}
	return notices, e.after(ctx, nil, cloud.ErrUnavailable)
}

// Reclaim sends a reclaim notice to each matching reclaimable instance without one, and
// returns the number of these instances, including those whose notice FaultGap leaves unpublished.
func (c *Cloud) Reclaim(match func(cloud.Instance) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	n := 0
	for _, m := range c.instances {
		if m.instance.Reclaimable && m.endsAt.IsZero() && match(m.instance) {
			c.sendNotice(m)
			n++
		}
	}
	return n
}

// InZone returns a predicate that matches the instances in a zone.
func InZone(zone string) func(cloud.Instance) bool {
	return func(instance cloud.Instance) bool { return instance.Zone == zone }
}

// InDatacentre returns a predicate that matches the instances in a data centre.
func InDatacentre(datacentre string) func(cloud.Instance) bool {
	return func(instance cloud.Instance) bool { return instance.Datacentre == datacentre }
}

func (c *Cloud) sendNotice(m *instanceRecord) {
	now := c.cfg.Clock.Now()
	m.endsAt = now.Add(c.cfg.Notice)
	c.cfg.Leaving(m.instance, c.cfg.Notice)
	c.lastSequence++
	if c.Faults.next(Call{Op: "notice", Name: m.instance.ID}).dropEvent {
		return
	}
	notice := cloud.Notice{Sequence: c.lastSequence, InstanceID: m.instance.ID, DeadlineMs: m.endsAt.UnixMilli()}
	c.notices = append(c.notices, stampedNotice{publishedAt: now, notice: notice})
	if len(c.notices) > 2*retainedNotices {
		c.notices = append([]stampedNotice(nil), c.notices[retainedNotices:]...)
	}
}
