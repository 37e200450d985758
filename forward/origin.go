package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/streamorigin"
)

// maxOriginWait bounds how long a request waits for Origins.Find.
const maxOriginWait = time.Second

var (
	errVersionGone   = errors.New("no endpoint of the software version that began the stream")
	errServiceUnused = errors.New("the route does not lead to the service that began the stream any more")
)

// findOrigin sets e.origin and e.service of a request that goes on with a stream of an earlier request. It fails if the stream
// can't go on; nothing was sent then.
func (e *exchange) findOrigin() *failure {
	if e.server.deps.Origins == nil || !e.request.Continues || e.route.Kind != deployment.Stream {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.context, min(maxOriginWait, e.remaining()-minAttemptTime))
	defer cancel()
	origin, err := e.server.deps.Origins.Find(ctx, e.request.Resumes, e.service.Name)
	switch {
	case e.context.Err() != nil:
		return e.waitEnded()
	case err != nil:
		return &failure{cause: causeOriginUnknown, err: err}
	}
	view := e.server.deps.State.View()
	service := view.Config.Services[origin.Service]
	if service == nil || !e.route.LeadsTo(origin.Service) {
		return &failure{cause: causeVersionGone, err: fmt.Errorf("%w: %s", errServiceUnused, origin.Service)}
	}
	e.service, e.origin = service, &origin
	if _, err := e.candidates(view.Endpoints); err != nil {
		return &failure{cause: causeVersionGone, err: err}
	}
	return nil
}

// recordOrigin remembers where a stream begins. It must be called before the first event is passed on. Nothing is recorded for a
// request that goes on with a stream: its caller names the request that began the stream the next time, too.
func (e *exchange) recordOrigin() {
	if e.origin != nil {
		return
	}
	e.origin = &streamorigin.Origin{Service: e.service.Name, Version: e.inFlight.Endpoint.SoftwareVersion}
	if e.server.deps.Origins != nil && e.request.ID != "" {
		e.server.deps.Origins.Record(e.request.ID, *e.origin, e.callerDeadline())
	}
}

// callerDeadline returns the time until which the caller may go on with the stream by further requests. The route's timeout
// applies to each of them.
func (e *exchange) callerDeadline() time.Time {
	if end := e.begunAt.Add(e.request.Timeout); end.After(e.deadline) {
		return end
	}
	return e.deadline
}

// candidates returns the endpoints that may get the request: those of the version that began the stream, or all before its
// first event. It returns errVersionGone if all that get new requests have other versions. It does not if there are none at
// all, since endpoints of the version may come back.
func (e *exchange) candidates(endpoints map[string]*deployment.Endpoint) (map[string]*deployment.Endpoint, error) {
	if e.origin == nil {
		return endpoints, nil
	}
	own, others := make(map[string]*deployment.Endpoint), 0
	usable := false
	for id, endpoint := range e.server.deps.Balancer.LeavingKnown(endpoints) {
		switch {
		case endpoint.Service != e.origin.Service:
		case endpoint.SoftwareVersion == e.origin.Version:
			own[id] = endpoints[id]
			usable = usable || !endpoint.Leaving
		case !endpoint.Leaving:
			others++
		}
	}
	if !usable && others > 0 {
		return nil, fmt.Errorf("%w: %q of service %s, %d endpoints of other versions",
			errVersionGone, e.origin.Version, e.origin.Service, others)
	}
	return own, nil
}
