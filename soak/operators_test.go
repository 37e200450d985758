package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/distribution"
	"knapweedhoist/objectapi"
)

// operators simulates two operators who edit the same presets.
type operators struct {
	w *world
	// edits holds the edits without a result, by reference.
	edits map[uint64]distribution.Edit
	// repeat holds the edits with an unknown outcome, to be sent again.
	repeat  []distribution.Edit
	results map[distribution.Outcome]int
	// accepted holds the revisions that accepted edits returned, by operation ID.
	accepted map[string]uint64
	// revision is the highest revision of the stored document, and storedAt when it was first seen.
	revision uint64
	storedAt time.Time
	// version is the version of the stored document that was checked last.
	version objectapi.Version
	// sequence is the reference of the last edit.
	sequence uint64
}

func newOperators(w *world) *operators {
	return &operators{
		w: w, edits: make(map[uint64]distribution.Edit), results: make(map[distribution.Outcome]int),
		accepted: make(map[string]uint64),
	}
}

// editConcurrently submits an edit of the same preset by each operator, at random instances at the same time.
func (o *operators) editConcurrently() {
	preset := fmt.Sprintf("preset-%d", o.w.rng.Intn(3))
	for _, operator := range []string{"ana", "bela"} {
		in := o.w.anyInstance()
		if in == nil || in.view.Catalog == nil {
			continue
		}
		item, _ := json.Marshal(catalog.Preset{Name: preset, ShortTokens: 1 + o.w.rng.Intn(1000)})
		o.submit(in, distribution.Edit{
			OperationID: fmt.Sprintf("op-%d", o.sequence+1), Operator: operator, Kind: catalog.ItemPreset, Name: preset,
			BaseRevision: in.view.Catalog.Revision(), Item: item,
		})
	}
	o.w.count("two operators on one preset")
}

// repeatEdit sends an edit with an unknown outcome again through a random instance.
func (o *operators) repeatEdit() {
	in := o.w.anyInstance()
	if len(o.repeat) == 0 || in == nil {
		return
	}
	edit := o.repeat[0]
	o.repeat = o.repeat[1:]
	o.submit(in, edit)
	o.w.count("edit repeated")
}

func (o *operators) submit(in *instance, edit distribution.Edit) {
	o.sequence++
	edit.Ref = o.sequence
	edit.Deadline = o.w.now.Add(o.w.randomDuration(time.Second, 10*time.Second))
	o.edits[edit.Ref] = edit
	in.do(func() { in.step(control.EditRequested{Edit: edit}) })
}

// editDone checks and records the result of an edit, and fails on a second result. An edit lost with its instance has none.
func (o *operators) editDone(_ *instance, result distribution.Result) {
	edit, found := o.edits[result.Ref]
	if !found {
		o.w.fail("configuration: edit %d has two results", result.Ref)
		return
	}
	delete(o.edits, result.Ref)
	o.results[result.Outcome]++
	switch result.Outcome {
	case distribution.Accepted:
		o.accepted[edit.OperationID] = result.Revision
		o.checkStoredDocument()
		if o.revision < result.Revision {
			o.w.fail("P7: revision %d was accepted and %d is stored", result.Revision, o.revision)
		}
	case distribution.Unknown:
		o.repeat = append(o.repeat, edit)
	case distribution.Conflict, distribution.Invalid, distribution.Unavailable:
	}
}

// checkStoredDocument reads the stored document, and fails when its revision decreases or an accepted change has
// another revision.
func (o *operators) checkStoredDocument() {
	object, found := o.w.platform.store.Object(objectapi.KindConfig, distribution.ObjectName)
	if !found || object.Version == o.version {
		return
	}
	o.version = object.Version
	document, err := catalog.Decode(object.Value)
	if err != nil {
		o.w.fail("configuration: stored document: %v", err)
		return
	}
	if document.Revision < o.revision {
		o.w.fail("P7: the stored revision fell from %d to %d", o.revision, document.Revision)
	}
	for _, change := range document.Changes {
		if acceptedAs := o.accepted[change.OperationID]; acceptedAs != 0 && acceptedAs != change.Revision {
			o.w.fail("P7: %s was accepted as %d and is stored as %d", change.OperationID, acceptedAs, change.Revision)
		}
	}
	if document.Revision > o.revision {
		o.revision, o.storedAt = document.Revision, o.w.now
	}
}

// maxPropagationTime is the time within which a stored revision must be in force at the instances that check covers.
const maxPropagationTime = 6 * time.Second

// check fails when a live instance lacks the stored revision for longer than maxPropagationTime after the latest of:
// when the revision was first seen in the store, the last failure of the platform or the network, and the instance's start
// and last pause. A leaving instance is exempt: watchers relay to live members only, and it accepts no new requests.
func (o *operators) check() {
	o.checkStoredDocument()
	for _, in := range o.w.instances {
		if !in.awake() || in.leaving || !o.w.calm() {
			continue
		}
		since := latest(o.storedAt, o.w.calmSince, in.startedAt, in.resumesAt)
		if o.w.now.Sub(since) > maxPropagationTime && in.revision < o.revision {
			o.w.fail("P7: %s of %s has revision %d, %d is stored, %v after the last change, failure, start or pause", in.id, in.dc, in.revision, o.revision, o.w.now.Sub(since))
		}
	}
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time {
	last := times[0]
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
