package standin

import (
	"context"

	"knapweedhoist/cloud"
)

// maxNotices bounds the notices that a cloud keeps.
const maxNotices = 4096

// Notices implements cloud.Cloud.
func (c *Cloud) Notices(ctx context.Context, from uint64) ([]cloud.Notice, error) {
	e, err := c.begin(ctx, Call{Op: "notices"}, throttled)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.cfg.Clock.Now().Add(-e.lag)
	var notices []cloud.Notice
	for _, stamped := range c.notices {
		if stamped.notice.Sequence > from && !stamped.at.After(until) {
			notices = append(notices, stamped.notice)
		}
	}
	return notices, e.after(ctx, nil, cloud.ErrUnavailable)
}

// Reclaim gives notice to all reclaimable instances that match, and returns their number.
func (c *Cloud) Reclaim(match func(cloud.Instance) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	n := 0
	for _, m := range c.instances {
		if m.instance.Reclaimable && m.ends.IsZero() && match(m.instance) {
			c.notify(m)
			n++
		}
	}
	return n
}

// InZone matches the instances of a zone.
func InZone(zone string) func(cloud.Instance) bool {
	return func(instance cloud.Instance) bool { return instance.Zone == zone }
}

// InDatacentre matches the instances of a data centre.
func InDatacentre(datacentre string) func(cloud.Instance) bool {
	return func(instance cloud.Instance) bool { return instance.Datacentre == datacentre }
}

func (c *Cloud) notify(m *machine) {
	now := c.cfg.Clock.Now()
	m.ends = now.Add(c.cfg.Notice)
	c.cfg.Leaving(m.instance, c.cfg.Notice)
	c.sequence++
	if c.Faults.next(Call{Op: "notice", Name: m.instance.ID}).dropEvent {
		return
	}
	notice := cloud.Notice{Sequence: c.sequence, InstanceID: m.instance.ID, DeadlineMs: m.ends.UnixMilli()}
	c.notices = append(c.notices, stampedNotice{at: now, notice: notice})
	if len(c.notices) > 2*maxNotices {
		c.notices = append([]stampedNotice(nil), c.notices[maxNotices:]...)
	}
}
