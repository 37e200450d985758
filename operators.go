package knapweedhoist

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/control"
	"knapweedhoist/distribution"
	"knapweedhoist/membership"
	"knapweedhoist/operator"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// operatorAPI implements operator.Fleet and operator.Configuration, the two
// interfaces of the operators' HTTP API, for an instance.
type operatorAPI struct {
	instance *Instance
}

func (i *Instance) newOperatorServer() (*operator.Server, error) {
	cfg := operator.Config{Metrics: i.metrics}
	for _, o := range i.cfg.Operators {
		cfg.Credentials = append(cfg.Credentials, operator.Credential{Operator: o.Name, KeyHash: o.KeyHash})
	}
	api := &operatorAPI{instance: i}
	collector := operator.NewCollector(i.lg, i.ring, i.peers, func() *membership.View { return i.view.Load().Fleet })
	return operator.NewServer(i.lg, cfg, api, api, collector)
}

// Status implements operator.Fleet.
func (o *operatorAPI) Status() operator.Status {
	view := o.instance.view.Load()
	status := operator.Status{RevisionSince: view.Fleet.Self.RevisionSince, Violations: o.instance.checker.Counts()}
	operator.FillStatus(&status, view.Fleet)
	if view.Catalog != nil {
		status.Preset, status.Revision = view.Catalog.InForce().Name, view.Catalog.Revision()
	}
	return status
}

// Endpoints implements operator.Fleet.
func (o *operatorAPI) Endpoints() []operator.EndpointStatus {
	return operator.EndpointStatuses(o.instance.view.Load().Fleet, time.Now())
}

// Request implements operator.Fleet.
func (o *operatorAPI) Request(ctx context.Context, idText string) (operator.RequestStatus, error) {
	id, err := request.ParseID(idText)
	if err != nil {
		return operator.RequestStatus{}, operator.ErrNotFound
	}
	owner := id.Incarnation
	finder := &attacher{instance: o.instance}
	for range maxSuccessors {
		if status, err := o.requestAt(ctx, owner, id); err == nil {
			return status, nil
		}
		next, found := finder.successor(ctx, owner)
		if !found {
			break
		}
		owner = next
	}
	return operator.RequestStatus{}, operator.ErrNotFound
}

func (o *operatorAPI) requestAt(ctx context.Context, owner string, id request.ID) (operator.RequestStatus, error) {
	if owner == o.instance.incarnation {
		return o.instance.requestStatus(id)
	}
	call := &wire.Call{Body: &wire.Call_RequestStatus{RequestStatus: &wire.RequestQuery{Id: id.String()}}}
	answer, err := o.instance.callPeer(ctx, owner, call)
	if err != nil {
		return operator.RequestStatus{}, err
	}
	var status operator.RequestStatus
	err = json.Unmarshal(answer.GetRequestStatus(), &status)
	return status, err
}

// requestStatus returns the status of a request of this instance, or
// operator.ErrNotFound.
func (i *Instance) requestStatus(id request.ID) (operator.RequestStatus, error) {
	entry, found := i.registry.Lookup(id)
	if !found {
		return operator.RequestStatus{}, operator.ErrNotFound
	}
	spec := entry.Spec()
	events, _ := entry.Position()
	status := operator.RequestStatus{
		ID: id.String(), Home: i.cfg.Instance, Team: spec.Team, Service: spec.Service, State: entry.State().String(),
		Attempt: entry.LastAttempt(), Idempotent: spec.Repeatable(), Sent: entry.OutcomeIfEnded() != request.OutcomeNotRun,
		Events: events, AgeMs: time.Since(spec.Received).Milliseconds(),
	}
	if finish := entry.Result(); finish != nil {
		status.Outcome = string(finish.Outcome)
	}
	return status, nil
}

// Drain implements operator.Fleet.
func (o *operatorAPI) Drain(operatorName string) error {
	o.instance.lg.Info("operator started a planned stop", "step", "drain", "operator", operatorName)
	o.instance.Stop()
	return nil
}

// Ready implements operator.Fleet.
func (o *operatorAPI) Ready() error {
	view := o.instance.view.Load()
	switch {
	case view.Catalog == nil:
		return errors.New("no configuration has been read")
	case len(view.Fleet.Endpoints) == 0:
		return errors.New("no endpoint is known")
	case o.instance.drain.leaving():
		return errors.New("the instance is leaving")
	default:
		return nil
	}
}

// Document implements operator.Configuration. It returns an empty document if
// this instance has none, its document cannot be decoded, or the control
// goroutine does not answer within broadcastTimeout.
func (o *operatorAPI) Document() catalog.Document {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	hub := o.instance.hub
	ref, answer := hub.configDocuments.register()
	hub.post(ctx, control.ConfigRequested{Ref: ref})
	stored, err := hub.configDocuments.wait(ctx, ref, answer)
	if err != nil || stored == nil {
		return catalog.Document{}
	}
	document, err := catalog.Decode(stored.GetDocument())
	if err != nil {
		o.instance.lg.Error("configuration document cannot be decoded", "step", "operator", "error", err.Error())
		return catalog.Document{}
	}
	return *document
}

// Change implements operator.Configuration.
func (o *operatorAPI) Change(ctx context.Context, change operator.Change) (operator.ChangeResult, error) {
	hub := o.instance.hub
	ref, answer := hub.editResults.register()
	hub.post(ctx, control.EditRequested{Edit: editOf(ctx, ref, change)})
	result, err := hub.editResults.wait(ctx, ref, answer)
	if err != nil {
		return operator.ChangeResult{}, errors.Join(operator.ErrUnavailable, err)
	}
	switch result.Outcome {
	case distribution.Accepted:
		return operator.ChangeResult{Revision: result.Revision}, nil
	case distribution.Conflict:
		return operator.ChangeResult{}, conflictOf(change, result)
	case distribution.Invalid:
		return operator.ChangeResult{}, errors.Join(operator.ErrInvalid, result.Err)
	case distribution.Unavailable, distribution.Unknown:
		return operator.ChangeResult{}, errors.Join(operator.ErrUnavailable, result.Err)
	default:
		return operator.ChangeResult{}, operator.ErrUnavailable
	}
}

// changeMargin is the part of the operator's deadline that is reserved for
// sending the answer.
const changeMargin = 200 * time.Millisecond

func editOf(ctx context.Context, ref uint64, change operator.Change) distribution.Edit {
	edit := distribution.Edit{
		Ref: ref, OperationID: change.OperationID, Operator: change.Operator, Kind: change.Kind, Name: change.Name,
		BaseRevision: change.BaseRevision, Item: change.Item, Deadline: time.Now().Add(defaultChangeTimeout),
	}
	if deadline, set := ctx.Deadline(); set {
		edit.Deadline = deadline.Add(-changeMargin)
	}
	if change.Kind == catalog.ItemInForce {
		// The preset in force is a single item whose value is the name of the preset.
		edit.Item, _ = json.Marshal(change.Name)
		edit.Name = ""
	}
	return edit
}

// defaultChangeTimeout limits a change whose context has no deadline.
const defaultChangeTimeout = 5 * time.Second

func conflictOf(change operator.Change, result distribution.Result) error {
	conflict := &operator.ConflictError{Current: result.Revision, Theirs: catalog.Change{
		Kind: change.Kind, Name: change.Name, After: result.CurrentItem,
	}}
	if result.ConflictingChange != nil {
		conflict.Theirs = *result.ConflictingChange
	}
	return conflict
}
