package request

// Hold keeps later events from the readers until Deliver or Unhold, so that they become
// visible only once a peer has acknowledged its copy of them. onChange is called
// after each event and each send, with the entry locked; it must not block or
// call the entry.
func (e *Entry) Hold(onChange func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = true
	e.onChange = onChange
}

// Deliver makes the events up to the given position visible to the readers. It
// has no effect unless the entry is held.
func (e *Entry) Deliver(upTo uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	upTo = min(upTo, e.machine.EventCount())
	if !e.held || upTo <= e.visible {
		return
	}
	e.setVisible(upTo)
}

// Unhold ends the hold and, unless the request moved, makes all events visible.
// It is called when there is no peer to copy to.
func (e *Entry) Unhold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = false
	e.onChange = nil
	if e.machine.state != StateMoved {
		e.setVisible(e.machine.EventCount())
	}
}

// MarkPeerMayRun records that a peer that no longer answers may have taken the
// request over and run it. From then on OutcomeNotRun is not proved, and a finish
// with this outcome that is not yet visible is changed to OutcomeUnknown.
func (e *Entry) MarkPeerMayRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.machine
	m.peerMayRun = true
	if m.finish == nil || m.finish.Outcome != OutcomeNotRun || e.visible == m.EventCount() {
		return
	}
	corrected := *m.finish
	corrected.Outcome, corrected.RetryAfter = OutcomeUnknown, 0
	m.finish = &corrected
}

// Move marks the request as owned by a peer and removes it from the registry:
// this instance no longer sends it and drops later events of its attempts, and
// readers get ErrMoved after the visible events.
func (e *Entry) Move() error {
	return e.move((*Machine).Move)
}

// MoveUnsent is Move for a call that must not be repeated: it succeeds only if no
// byte of the call was sent, so that the peer may send it. Otherwise it returns
// ErrSentOnce.
func (e *Entry) MoveUnsent() error {
	return e.move((*Machine).MoveUnsent)
}

func (e *Entry) move(transition func(*Machine) error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := transition(e.machine); err != nil {
		return err
	}
	e.setVisible(e.visible) // signals the readers, so that they get ErrMoved
	e.cancelAttempts()
	e.callOnEnd(nil)
	e.registry.markMoved(e)
	return nil
}

// Visible returns the number of events that readers can see.
func (e *Entry) Visible() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.visible
}
