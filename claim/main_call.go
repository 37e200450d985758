package claim

import (
	"time"

	"knapweedhoist/objectapi"
)

// stage is the step that a main call belongs to.
type stage uint8

const (
	stageLocate stage = iota + 1
	stageSeal
	stageRead
	stageCreate
	stageVerify
	stageAppend
	stageRoll
	stageVerifyRoll
)

// mainCall is a call that is repeated unchanged until its result is certain.
type mainCall struct {
	id       uint64
	stage    stage
	request  objectapi.Request
	inFlight bool
	retryAt  time.Time
}

func (s *Shard) issue(st stage, request objectapi.Request, out *Output) {
	s.main = &mainCall{stage: st, request: request}
	s.sendMain(out)
}

func (s *Shard) sendMain(out *Output) {
	s.checkWrite()
	s.main.id = s.newID()
	s.main.inFlight = true
	out.Calls = append(out.Calls, objectapi.Call{ID: s.main.id, Request: s.main.request})
}

func (s *Shard) newID() uint64 {
	s.nextID++
	return s.nextID
}

// retryMain repeats a call with the same bytes and the same condition.
func (s *Shard) retryMain(now time.Time, out *Output) {
	if s.main == nil || s.main.inFlight || now.Before(s.main.retryAt) {
		return
	}
	s.lastWrite = now
	s.sendMain(out)
}

func (s *Shard) mainDone(now time.Time, done objectapi.Done, out *Output) {
	if transient(done.Err) {
		s.lg.Debug("claim call failed", "step", s.main.request.Op.String(), "error", done.Err)
		s.main.inFlight = false
		s.main.retryAt = now.Add(s.cfg.WriteInterval)
		return
	}
	ended := s.main
	s.main = nil
	switch ended.stage {
	case stageLocate:
		s.located(now, done, out)
	case stageSeal:
		s.sealed(now, done, out)
	case stageRead:
		s.pageRead(now, done, out)
	case stageCreate:
		s.created(now, done, out)
	case stageVerify:
		s.verified(now, done, out)
	case stageAppend:
		s.appended(now, done, out)
	case stageRoll:
		s.rolled(now, done, out)
	case stageVerifyRoll:
		s.rollVerified(now, done, out)
	}
}

// listAfter reads the first slot after a number; 0 reads the first slot.
func (s *Shard) listAfter(number uint64) objectapi.Request {
	after := ""
	if number > 0 {
		after = name(s.cfg.Shard, number)
	}
	return objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindClaim, Name: prefix(s.cfg.Shard), After: after, Limit: 1}
}
