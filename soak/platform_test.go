package soak

import (
	"time"

	"knapweedhoist/control"
	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Timeouts of the platform client; a watch call ends watchSilence after its wait time.
const (
	platformTimeout = 5 * time.Second
	watchSilence    = 5 * time.Second
)

// platform connects the instances to the simulated platform.
type platform struct {
	w      *world
	store  *testutil.Store
	nextID uint64
	calls  map[uint64]*platformCall
}

// platformCall is a call that has no result yet.
type platformCall struct {
	from *instance
	done func(objectapi.CallResult)
}

func newPlatform(w *world) *platform {
	return &platform{w: w, store: testutil.NewStore(w.rng, normalDelays), calls: make(map[uint64]*platformCall)}
}

// normalDelays are the delays of a platform without failures, 1 to 4 ms each way.
var normalDelays = testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 4 * time.Millisecond}

// callForControl makes a platform call for the control code.
func (p *platform) callForControl(from *instance, e control.PlatformCall) {
	id := e.Call.ID
	p.call(from, e.Call.Request, func(done objectapi.CallResult) {
		done.ID = id
		from.step(control.PlatformDone{Component: e.Component, Done: done})
	})
}

// call makes a platform call. Without a reply before the timeout it ends with ErrUnavailable, whether or not it took effect.
func (p *platform) call(from *instance, request objectapi.Request, done func(objectapi.CallResult)) {
	p.nextID++
	id := p.nextID
	p.calls[id] = &platformCall{from: from, done: done}
	timeout := platformTimeout
	if request.Op == objectapi.OpWatch {
		timeout = request.Wait + watchSilence
	}
	p.w.after(timeout, func() { p.endCall(id, objectapi.CallResult{Err: objectapi.ErrUnavailable}) })
	if p.w.net.cut(from.dc, platformSite) {
		p.w.count("platform call cut")
		return
	}
	p.store.Submit(p.w.now, from.dc, objectapi.Call{ID: id, Request: request})
}

// advance runs the store up to the current time and delivers its replies.
func (p *platform) advance() {
	for _, delivery := range p.store.Advance(p.w.now) {
		if p.w.net.cut(delivery.To, platformSite) {
			p.w.count("platform reply cut")
			continue
		}
		p.endCall(delivery.Done.ID, delivery.Done)
	}
}

func (p *platform) endCall(id uint64, done objectapi.CallResult) {
	call, found := p.calls[id]
	if !found {
		return
	}
	delete(p.calls, id)
	call.from.do(func() { call.done(done) })
}
