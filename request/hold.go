package request

// Hold makes readers wait for Deliver: events after the current position are
// shown only once a peer has acknowledged its copy of them. The function
// changed is called, with the entry locked, after each event and each send; it
// must not block.
func (e *Entry) Hold(changed func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = true
	e.changed = changed
}

// Deliver shows the events up to the given position to the readers.
func (e *Entry) Deliver(upTo uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	upTo = min(upTo, e.machine.Events())
	if !e.held || upTo <= e.visible {
		return
	}
	e.show(upTo)
}

// Unhold shows all events and ends the hold, when there is no peer to copy to.
func (e *Entry) Unhold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = false
	e.changed = nil
	if e.machine.state != StateMoved {
		e.show(e.machine.Events())
	}
}

// MayRunElsewhere tells that a peer that cannot be asked any more may have taken
// the request over and run it. From then on not_run is not proved, also by a
// finish that no caller has seen.
func (e *Entry) MayRunElsewhere() {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.machine
	m.elsewhere = true
	if m.finish == nil || m.finish.Outcome != OutcomeNotRun || e.visible == m.Events() {
		return
	}
	corrected := *m.finish
	corrected.Outcome, corrected.RetryAfter = OutcomeUnknown, 0
	m.finish = &corrected
}

// Move gives the request to a peer: nothing more is sent or delivered here,
// and readers get ErrMoved.
func (e *Entry) Move() error {
	return e.move((*Machine).Move)
}

// MoveUnsent is Move for a call that must not be repeated: it succeeds only
// while no byte was sent, so that the peer may send it.
func (e *Entry) MoveUnsent() error {
	return e.move((*Machine).MoveUnsent)
}

func (e *Entry) move(step func(*Machine) error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := step(e.machine); err != nil {
		return err
	}
	e.show(e.visible)
	e.stop()
	e.end(nil)
	e.registry.moved(e)
	return nil
}

// Visible returns the position that readers can see.
func (e *Entry) Visible() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.visible
}
