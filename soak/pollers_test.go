package soak

import (
	"time"

	"knapweedhoist/control"
	"knapweedhoist/membership"
)

// Intervals between reads of the list, the cloud notices and the endpoint loads, as in the root package.
const (
	rosterInterval = 5 * time.Second
	rosterBackstop = 5 * time.Minute
	rosterRetry    = 200 * time.Millisecond
	pollInterval   = time.Second
)

// poll reads the list, the notices and the load reports when they are due.
func (in *instance) poll() {
	if in.w.now.Sub(in.listReadAt) >= in.listWait() {
		in.listReadAt = in.w.now
		in.readList()
	}
	if in.w.now.Sub(in.polledAt) < pollInterval {
		return
	}
	in.polledAt = in.w.now
	if in.view.Fleet.WatchesConfig() || in.view.Fleet.Self.State == membership.Leaving {
		in.readNotices()
	}
	for _, endpoint := range in.view.Fleet.Watched() {
		if !endpoint.Leaving {
			in.readLoad(endpoint)
		}
	}
}

// listWait returns the interval of list reads: short until the first read, long for instances that do not watch.
func (in *instance) listWait() time.Duration {
	switch {
	case !in.listed:
		return rosterRetry
	case in.view.Fleet.WatchesConfig():
		return rosterInterval
	default:
		return rosterBackstop
	}
}

func (in *instance) readList() {
	entries := in.w.list.read(in.w.now)
	in.w.net.sendUnreliable(platformSite, in.dc, func() {
		in.do(func() {
			in.listed = true
			in.step(control.RosterRead{Entries: entries})
		})
	})
}

// readNotices reads the cloud's notices that follow the last one read.
func (in *instance) readNotices() {
	notices := in.w.notices
	in.w.net.sendUnreliable(platformSite, in.dc, func() {
		in.do(func() {
			for ; in.noticeFrom < len(notices); in.noticeFrom++ {
				in.handleNotice(notices[in.noticeFrom])
			}
		})
	})
}

// handleNotice passes a notice on an endpoint or a peer to the control code, and starts the departure if the notice is for
// this instance. It ignores a notice whose time is over.
func (in *instance) handleNotice(notice cloudNotice) {
	left := notice.endsAt.Sub(in.w.now)
	if left <= 0 {
		return
	}
	fleet := in.view.Fleet
	if endpoint := fleet.Endpoint(notice.id); endpoint != nil && !endpoint.Leaving {
		in.step(control.NoticeReceived{Notice: membership.Notice{ID: notice.id, Incarnation: endpoint.Incarnation, Remaining: left}})
	}
	if notice.id == in.id {
		in.reclaim(left)
		return
	}
	for _, m := range fleet.Live() {
		if m.ID == notice.id {
			in.step(control.NoticeReceived{Notice: membership.Notice{ID: notice.id, Incarnation: m.Incarnation, Remaining: left}})
		}
	}
}

func (in *instance) readLoad(endpoint *membership.Endpoint) {
	target := in.w.endpoint(endpoint.Address)
	if target == nil {
		return
	}
	in.w.net.sendUnreliable(in.dc, target.dc, func() {
		if target.ended {
			return
		}
		report := target.load()
		in.w.net.sendUnreliable(target.dc, in.dc, func() {
			in.do(func() { in.step(control.LoadRead{Endpoint: endpoint.ID, Report: report}) })
		})
	})
}
