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

// EditorConfig holds the optional receivers of timeline events and invariant violations.
type EditorConfig struct {
	Recorder timeline.Recorder
	Checker  invariant.Checker
}

// Editor applies edits to the stored document, one at a time and in the order of
// Submit. The control goroutine owns it; it is not safe for concurrent use.
type Editor struct {
	lg      *slog.Logger
	cfg     EditorConfig
	queue   []Edit
	current *editInProgress
	nextID  uint64
}

// editInProgress is the edit that the Editor works on, with the state of its calls. callID is 0 when no call is open; then
// the next one starts at retryAt.
type editInProgress struct {
	Edit
	callID  uint64
	op      objectapi.Op
	retryAt time.Time
	// baseVersion is the object version that the last write replaces, 0 for a create. next is the document that it writes
	// and nextEncoded the same document as JSON.
	baseVersion objectapi.Version
	next        *catalog.Document
	nextEncoded []byte
	// outcomeUnknown is set when a write on baseVersion is sent, and cleared when it is known that it was not stored.
	outcomeUnknown bool
}

// NewEditor returns an Editor without edits.
func NewEditor(lg *slog.Logger, cfg EditorConfig) *Editor {
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard
	}
	return &Editor{lg: lg, cfg: cfg}
}

// Submit enqueues an edit. Exactly one Result with its Ref follows, in this output or a later one.
func (e *Editor) Submit(now time.Time, edit Edit) EditorOutput {
	var out EditorOutput
	if len(e.queue) >= maxQueuedEdits {
		out.Results = append(out.Results, Result{Ref: edit.Ref, Outcome: Unavailable})
		return out
	}
	e.queue = append(e.queue, edit)
	e.advance(now, &out)
	return out
}

// Tick retries failed calls and ends edits at their deadline. It must be called at least every 100 ms while edits are
// open.
func (e *Editor) Tick(now time.Time) EditorOutput {
	var out EditorOutput
	e.advance(now, &out)
	return out
}

// Done processes the result of a call. It must be called exactly once for each Call, with ErrUnavailable for a call that
// was abandoned. The result of a call of an earlier edit is ignored.
func (e *Editor) Done(now time.Time, done objectapi.CallResult) EditorOutput {
	var out EditorOutput
	if e.current == nil || e.current.callID == 0 || e.current.callID != done.ID {
		return out
	}
	e.current.callID = 0
	if e.current.op == objectapi.OpGet {
		e.handleRead(now, done, &out)
	} else {
		e.handleWrite(now, done, &out)
	}
	e.advance(now, &out)
	return out
}

// advance ends the current edit after its deadline, starts the next queued edit, and reads the document when a call is
// due.
func (e *Editor) advance(now time.Time, out *EditorOutput) {
	if e.current != nil && now.After(e.current.Deadline) {
		e.complete(out, Result{Outcome: e.failureOutcome()})
	}
	for e.current == nil && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.current = &editInProgress{Edit: next}
		if now.After(next.Deadline) {
			e.complete(out, Result{Outcome: Unavailable})
		}
	}
	if e.current != nil && e.current.callID == 0 && !now.Before(e.current.retryAt) {
		e.sendCall(objectapi.Get(objectapi.KindConfig, ObjectName), out)
	}
}

// failureOutcome is the outcome of an edit that ends without a decision: Unknown when a write may have been stored.
func (e *Editor) failureOutcome() Outcome {
	if e.current.outcomeUnknown {
		return Unknown
	}
	return Unavailable
}

func (e *Editor) sendCall(request objectapi.Request, out *EditorOutput) {
	e.nextID++
	e.current.callID, e.current.op = e.nextID, request.Op
	out.Calls = append(out.Calls, objectapi.Call{ID: e.nextID, Request: request})
}

func (e *Editor) handleRead(now time.Time, done objectapi.CallResult, out *EditorOutput) {
	switch {
	case done.Err == nil:
		e.applyToObject(now, done.Reply.Object, out)
	case errors.Is(done.Err, objectapi.ErrNotFound):
		e.applyToDocument(now, catalog.Initial(), 0, out)
	default:
		e.current.retryAt = now.Add(retryDelay)
	}
}

func (e *Editor) handleWrite(now time.Time, done objectapi.CallResult, out *EditorOutput) {
	switch {
	case done.Err == nil:
		e.completeAccepted(done.Reply.Object.Version, out)
	case errors.Is(done.Err, objectapi.ErrConflict) && done.Reply.Object.Version != 0:
		e.applyToObject(now, done.Reply.Object, out)
	case errors.Is(done.Err, objectapi.ErrInvalid):
		e.complete(out, Result{Outcome: Invalid, Err: done.Err})
	default:
		// After ErrUnavailable the write may have been stored, so the next call reads the document.
		e.current.retryAt = now.Add(retryDelay)
	}
}

// applyToObject decodes the stored document and applies the edit to it.
func (e *Editor) applyToObject(now time.Time, object objectapi.Object, out *EditorOutput) {
	document, err := catalog.Decode(object.Value)
	if err != nil {
		e.complete(out, Result{Outcome: e.failureOutcome(), Err: err})
		return
	}
	e.applyToDocument(now, document, object.Version, out)
}

// applyToDocument applies the edit to the document of the given object version, 0 when there is no object yet: it ends the
// edit when its outcome is clear from the document, and writes the next revision otherwise.
func (e *Editor) applyToDocument(now time.Time, document *catalog.Document, version objectapi.Version, out *EditorOutput) {
	c := e.current
	if change := findOperation(document, c.OperationID); change != nil {
		e.completeRepeated(change, out)
		return
	}
	if c.outcomeUnknown && version != c.baseVersion {
		if oldestRetainedRevision(document) > c.next.Revision {
			e.complete(out, Result{Outcome: Unknown}) // the change is not retained, so it cannot be seen whether it was stored
			return
		}
		c.outcomeUnknown = false // the object version changed, so the write failed and can no longer take effect
	}
	if c.BaseRevision > document.Revision {
		e.complete(out, Result{Outcome: Invalid, Err: errBaseAhead(c.BaseRevision, document.Revision)})
		return
	}
	if conflict, ok := findConflict(document, c.Edit); ok {
		e.complete(out, conflict)
		return
	}
	next, value, err := e.buildNext(now, document)
	if err != nil {
		e.complete(out, Result{Outcome: Invalid, Err: err})
		return
	}
	e.write(next, value, version, out)
}

// buildNext returns the next revision of the document with the edit applied, validated, and its encoding.
func (e *Editor) buildNext(now time.Time, document *catalog.Document) (*catalog.Document, []byte, error) {
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
	e.assertInvariant(hasOnePresetInForce(next), InvariantOneInForce, next.Revision)
	value, err := next.Encode()
	return next, value, err
}

// write sends a conditional update of the object version, or a create when the version is 0.
func (e *Editor) write(next *catalog.Document, value []byte, version objectapi.Version, out *EditorOutput) {
	c := e.current
	c.next, c.nextEncoded, c.baseVersion, c.outcomeUnknown = next, value, version, true
	request := objectapi.Create(objectapi.KindConfig, ObjectName, value)
	if version != 0 {
		request = objectapi.Update(objectapi.KindConfig, ObjectName, version, value)
	}
	e.sendCall(request, out)
}

// completeAccepted ends the edit after a write that created the object version.
func (e *Editor) completeAccepted(version objectapi.Version, out *EditorOutput) {
	c := e.current
	out.Stored = &StoredDocument{Revision: c.next.Revision, Version: version, Value: c.nextEncoded}
	e.lg.Info("change accepted", "revision", c.next.Revision, "kind", c.Kind, "name", c.Name)
	e.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindRevision, Revision: c.next.Revision, Step: "accepted"})
	e.complete(out, Result{Outcome: Accepted, Revision: c.next.Revision})
}

// completeRepeated ends an edit whose operation id is in the document, because the reply to the write was lost or the
// operator sent the edit again. The edit is invalid when the stored change is a different one.
func (e *Editor) completeRepeated(change *catalog.Change, out *EditorOutput) {
	item, err := catalog.CanonicalItem(e.current.Kind, e.current.Item)
	same := err == nil && change.Kind == e.current.Kind && change.Name == e.current.Name && string(change.After) == string(item)
	if !same {
		e.complete(out, Result{Outcome: Invalid, Err: errOperationReused(change)})
		return
	}
	e.complete(out, Result{Outcome: Accepted, Revision: change.Revision})
}

// complete ends the current edit with the result.
func (e *Editor) complete(out *EditorOutput, result Result) {
	result.Ref = e.current.Ref
	out.Results = append(out.Results, result)
	e.current = nil
}
