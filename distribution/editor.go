package distribution

import (
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/invariant"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
)

// EditorConfig holds what an Editor reports to.
type EditorConfig struct {
	Recorder timeline.Recorder
	Checker  invariant.Checker
}

// Editor applies edits to the stored document, one at a time. The control
// goroutine owns it; it is not safe for concurrent use.
type Editor struct {
	lg      *slog.Logger
	cfg     EditorConfig
	queue   []Edit
	current *editing
	nextID  uint64
}

// editing is the edit in progress.
type editing struct {
	Edit
	callID  uint64
	op      objectapi.Op
	retryAt time.Time
	// version is that of the document the last write applies to; next is what it writes.
	version objectapi.Version
	next    *catalog.Document
	value   []byte
	// unresolved: a write at version was sent and its outcome is not known.
	unresolved bool
}

// NewEditor returns an Editor without work.
func NewEditor(lg *slog.Logger, cfg EditorConfig) *Editor {
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard
	}
	return &Editor{lg: lg, cfg: cfg}
}

// Submit accepts an edit. Its Result comes once, here or in a later output.
func (e *Editor) Submit(now time.Time, edit Edit) EditorOutput {
	var out EditorOutput
	if len(e.queue) >= maxEdits {
		out.Results = append(out.Results, Result{Ref: edit.Ref, Outcome: Unavailable})
		return out
	}
	e.queue = append(e.queue, edit)
	e.step(now, &out)
	return out
}

// Tick repeats failed calls and ends edits at their deadline. It is called at least every 100 ms while edits are open.
func (e *Editor) Tick(now time.Time) EditorOutput {
	var out EditorOutput
	e.step(now, &out)
	return out
}

// Done accepts the result of a call. Each Call needs exactly one Done; a call that was abandoned ends with
// ErrUnavailable.
func (e *Editor) Done(now time.Time, done objectapi.Done) EditorOutput {
	var out EditorOutput
	if e.current == nil || e.current.callID == 0 || e.current.callID != done.ID {
		return out
	}
	e.current.callID = 0
	if e.current.op == objectapi.OpGet {
		e.gotDocument(now, done, &out)
	} else {
		e.written(now, done, &out)
	}
	e.step(now, &out)
	return out
}

func (e *Editor) step(now time.Time, out *EditorOutput) {
	if e.current != nil && now.After(e.current.Deadline) {
		e.end(out, Result{Outcome: e.outcomeAtDeadline()})
	}
	for e.current == nil && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.current = &editing{Edit: next}
		if now.After(next.Deadline) {
			e.end(out, Result{Outcome: Unavailable})
		}
	}
	if e.current != nil && e.current.callID == 0 && !now.Before(e.current.retryAt) {
		e.send(objectapi.Get(objectapi.KindConfig, ObjectName), out)
	}
}

func (e *Editor) outcomeAtDeadline() Outcome {
	if e.current.unresolved {
		return Unknown
	}
	return Unavailable
}

func (e *Editor) send(request objectapi.Request, out *EditorOutput) {
	e.nextID++
	e.current.callID, e.current.op = e.nextID, request.Op
	out.Calls = append(out.Calls, objectapi.Call{ID: e.nextID, Request: request})
}

func (e *Editor) gotDocument(now time.Time, done objectapi.Done, out *EditorOutput) {
	switch {
	case done.Err == nil:
		e.consider(now, done.Reply.Object, out)
	case errors.Is(done.Err, objectapi.ErrNotFound):
		e.apply(now, catalog.Initial(), 0, out)
	default:
		e.current.retryAt = now.Add(retryAfter)
	}
}

func (e *Editor) written(now time.Time, done objectapi.Done, out *EditorOutput) {
	switch {
	case done.Err == nil:
		e.accept(done.Reply.Object.Version, out)
	case errors.Is(done.Err, objectapi.ErrConflict) && done.Reply.Object.Version != 0:
		e.consider(now, done.Reply.Object, out)
	case errors.Is(done.Err, objectapi.ErrInvalid):
		e.end(out, Result{Outcome: Invalid, Err: done.Err})
	default:
		// After ErrUnavailable the document is read back before anything else is done.
		e.current.retryAt = now.Add(retryAfter)
	}
}

// consider decides on the edit with the document as the platform has it now.
func (e *Editor) consider(now time.Time, object objectapi.Object, out *EditorOutput) {
	document, err := catalog.Decode(object.Value)
	if err != nil {
		e.end(out, Result{Outcome: e.outcomeAtDeadline(), Err: err})
		return
	}
	e.apply(now, document, object.Version, out)
}

func (e *Editor) apply(now time.Time, document *catalog.Document, version objectapi.Version, out *EditorOutput) {
	c := e.current
	if change := findOperation(document, c.OperationID); change != nil {
		e.recognise(change, out)
		return
	}
	if c.unresolved && version != c.version {
		if oldestKept(document) > c.next.Revision {
			e.end(out, Result{Outcome: Unknown}) // the change was stored or not: its revision is no longer kept
			return
		}
		c.unresolved = false // a write at the old version can no longer take effect, and none has
	}
	if c.BaseRevision > document.Revision {
		e.end(out, Result{Outcome: Invalid, Err: errBaseAhead(c.BaseRevision, document.Revision)})
		return
	}
	if conflict, ok := findConflict(document, c.Edit); ok {
		e.end(out, conflict)
		return
	}
	next, value, err := e.change(now, document)
	if err != nil {
		e.end(out, Result{Outcome: Invalid, Err: err})
		return
	}
	e.write(next, value, version, out)
}

// change returns the document with the edit applied, validated and encoded.
func (e *Editor) change(now time.Time, document *catalog.Document) (*catalog.Document, []byte, error) {
	c := e.current
	next, err := document.WithChange(catalog.Change{
		Revision: document.Revision + 1, OperationID: c.OperationID, Operator: c.Operator, AtMs: now.UnixMilli(),
		Kind: c.Kind, Name: c.Name, After: c.Item,
	})
	if err != nil {
		return nil, nil, err
	}
	if err := next.Validate(); err != nil {
		return nil, nil, err
	}
	e.check(inForceOnce(next), InvariantOneInForce, next.Revision)
	value, err := next.Encode()
	return next, value, err
}

func (e *Editor) write(next *catalog.Document, value []byte, version objectapi.Version, out *EditorOutput) {
	c := e.current
	c.next, c.value, c.version, c.unresolved = next, value, version, true
	request := objectapi.Create(objectapi.KindConfig, ObjectName, value)
	if version != 0 {
		request = objectapi.Update(objectapi.KindConfig, ObjectName, version, value)
	}
	e.send(request, out)
}

func (e *Editor) accept(version objectapi.Version, out *EditorOutput) {
	c := e.current
	out.Stored = &Stored{Revision: c.next.Revision, Version: version, Value: c.value}
	e.lg.Info("change accepted", "revision", c.next.Revision, "kind", c.Kind, "name", c.Name)
	e.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindRevision, Revision: c.next.Revision, Step: "accepted"})
	e.end(out, Result{Outcome: Accepted, Revision: c.next.Revision})
}

// recognise ends an edit whose operation is in the document: a reply was lost, or the operator sent it again.
func (e *Editor) recognise(change *catalog.Change, out *EditorOutput) {
	item, err := catalog.CanonicalItem(e.current.Kind, e.current.Item)
	same := err == nil && change.Kind == e.current.Kind && change.Name == e.current.Name && string(change.After) == string(item)
	if !same {
		e.end(out, Result{Outcome: Invalid, Err: errOperationReused(change)})
		return
	}
	e.end(out, Result{Outcome: Accepted, Revision: change.Revision})
}

func (e *Editor) end(out *EditorOutput, result Result) {
	result.Ref = e.current.Ref
	out.Results = append(out.Results, result)
	e.current = nil
}
