package claim

import (
	"time"

	"knapweedhoist/objectapi"
)

// stage identifies the step of a takeover or a write that a log call belongs to.
type stage uint8

const (
	stageLocate     stage = iota + 1 // list a slot in the search for the last one
	stageSeal                        // seal the last slot
	stageRead                        // read a page of slots
	stageCreate                      // create the first slot of the new owner
	stageVerify                      // check that no slot follows the created one
	stageAppend                      // append records to the tail
	stageRoll                        // create the next slot, because the tail is full
	stageVerifyRoll                  // check that no slot follows the next one
)

// logCall is an object API call of a takeover or a write. It is repeated unchanged until its result is certain.
type logCall struct {
	id       uint64
	stage    stage
	request  objectapi.Request
	inFlight bool
	retryAt  time.Time
}

// startCall makes a new log call. No other one may be in flight.
func (s *Shard) startCall(st stage, request objectapi.Request, out *Output) {
	s.logCall = &logCall{stage: st, request: request}
	s.sendLogCall(out)
}

func (s *Shard) sendLogCall(out *Output) {
	s.checkWrite()
	s.logCall.id = s.newCallID()
	s.logCall.inFlight = true
	out.Calls = append(out.Calls, objectapi.Call{ID: s.logCall.id, Request: s.logCall.request})
}

func (s *Shard) newCallID() uint64 {
	s.lastCallID++
	return s.lastCallID
}

// retryLogCall repeats a failed log call with the same bytes and the same condition.
func (s *Shard) retryLogCall(now time.Time, out *Output) {
	if s.logCall == nil || s.logCall.inFlight || now.Before(s.logCall.retryAt) {
		return
	}
	s.lastWrite = now
	s.sendLogCall(out)
}

// logCallDone handles the result of the log call: it schedules a retry after a transient error, and continues with the
// next stage otherwise.
func (s *Shard) logCallDone(now time.Time, done objectapi.CallResult, out *Output) {
	if transient(done.Err) {
		s.lg.Debug("object API call of a claim shard failed", "step", s.logCall.request.Op.String(), "error", done.Err)
		s.logCall.inFlight = false
		s.logCall.retryAt = now.Add(s.cfg.WriteInterval)
		return
	}
	finished := s.logCall
	s.logCall = nil
	switch finished.stage {
	case stageLocate:
		s.locateDone(now, done, out)
	case stageSeal:
		s.sealDone(now, done, out)
	case stageRead:
		s.readPageDone(now, done, out)
	case stageCreate:
		s.createDone(now, done, out)
	case stageVerify:
		s.verifyDone(now, done, out)
	case stageAppend:
		s.appendDone(now, done, out)
	case stageRoll:
		s.rollDone(now, done, out)
	case stageVerifyRoll:
		s.verifyRollDone(now, done, out)
	}
}

// listFirstAfter returns the request that lists the first slot after the given number, or the first slot of all for 0.
func (s *Shard) listFirstAfter(number uint64) objectapi.Request {
	after := ""
	if number > 0 {
		after = slotName(s.cfg.Shard, number)
	}
	return objectapi.Request{Op: objectapi.OpList, Kind: objectapi.KindClaim, Name: shardPrefix(s.cfg.Shard), After: after, Limit: 1}
}
