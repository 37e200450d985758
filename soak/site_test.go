package soak

import (
	"time"

	"knapweedhoist/control"
	"knapweedhoist/objectapi"
	"knapweedhoist/testutil"
)

// Timeouts of the platform client.
const (
	platformTimeout = 5 * time.Second
	watchSilence    = 5 * time.Second
)

// site connects the instances with the platform.
type platform struct {
	w      *world
	store  *testutil.Store
	nextID uint64
	calls  map[uint64]*platformCall
}

// platformCall is a call that has no result yet.
type platformCall struct {
	from *instance
	done func(objectapi.Done)
}

func newPlatform(w *world) *platform {
	return &platform{w: w, store: testutil.NewStore(w.rng, steadyPlatform), calls: make(map[uint64]*platformCall)}
}

// steadyPlatform answers in milliseconds.
var steadyPlatform = testutil.Faults{MinDelay: time.Millisecond, MaxDelay: 4 * time.Millisecond}

// effect carries a platform call of the control code out.
func (s *platform) effect(from *instance, e control.PlatformCall) {
	id := e.Call.ID
	s.do(from, e.Call.Request, func(done objectapi.Done) {
		done.ID = id
		from.step(control.PlatformDone{Component: e.Component, Done: done})
	})
}

// do makes a call. One that gets no reply in time ends as unavailable, whether it took effect or not.
func (s *platform) do(from *instance, request objectapi.Request, done func(objectapi.Done)) {
	s.nextID++
	id := s.nextID
	s.calls[id] = &platformCall{from: from, done: done}
	timeout := platformTimeout
	if request.Op == objectapi.OpWatch {
		timeout = request.Wait + watchSilence
	}
	s.w.after(timeout, func() { s.end(id, objectapi.Done{Err: objectapi.ErrUnavailable}) })
	if s.w.net.cut(from.dc, platformSite) {
		s.w.count("platform call cut")
		return
	}
	s.store.Submit(s.w.now, from.dc, objectapi.Call{ID: id, Request: request})
}

// advance lets the platform work, and brings its replies back.
func (s *platform) advance() {
	for _, delivery := range s.store.Advance(s.w.now) {
		if s.w.net.cut(delivery.To, platformSite) {
			s.w.count("platform reply cut")
			continue
		}
		s.end(delivery.Done.ID, delivery.Done)
	}
}

func (s *platform) end(id uint64, done objectapi.Done) {
	call, found := s.calls[id]
	if !found {
		return
	}
	delete(s.calls, id)
	call.from.do(func() { call.done(done) })
}
