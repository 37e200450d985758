package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/catalog"
	"knapweedhoist/engine"
	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// authenticateNewWork checks that the instance accepts new work and returns the
// team of the request's bearer key.
func (s *Server) authenticateNewWork(ctx *fasthttp.RequestCtx) (*catalog.Team, *problem) {
	if !s.acceptsWork() {
		p := notRunProblem(http.StatusServiceUnavailable, "drain", "the instance takes no new work")
		p.retryAfter = notAcceptingRetryAfter
		ctx.SetConnectionClose()
		return nil, p
	}
	return s.authenticate(&ctx.Request.Header)
}

// authorise checks that the team may call the service and that the body is
// within the size limit of the service.
func authorise(team *catalog.Team, service *catalog.Service, bodyBytes int) *problem {
	if !team.MayCall(service.Name) {
		return notRunProblem(http.StatusForbidden, "authorise", "the team may not call this service")
	}
	if bodyBytes > cmp.Or(service.MaxBodyBytes, catalog.DefaultMaxBodyBytes) {
		return notRunProblem(http.StatusRequestEntityTooLarge, "read", "the body exceeds the limit of the service")
	}
	return nil
}

// accept asks the Admitter for a decision on a request, and registers and starts
// the request if it is admitted.
func (s *Server) accept(spec request.Spec, team *catalog.Team, service *catalog.Service) (*request.Entry, *problem) {
	spec.ID = s.deps.Registry.NewID()
	spec.Team = team.Name
	spec.Service = service.Name
	spec.Kind = service.Kind
	decision := s.deps.Admitter.Admit(spec.Received, newAdmissionRequest(&spec, team, service))
	if !decision.Admitted {
		s.record(timeline.KindRejected, &spec, decision.Step)
		return nil, admissionProblem(&decision)
	}
	entry, err := s.register(spec, decision.Done)
	if err != nil {
		finishAdmission(decision.Done, nil)
		return nil, registryProblem(err)
	}
	s.record(timeline.KindAccept, &spec, "accept")
	s.deps.Starter.Start(entry)
	return entry, nil
}

func newAdmissionRequest(spec *request.Spec, team *catalog.Team, service *catalog.Service) AdmissionRequest {
	req := AdmissionRequest{
		RequestID: spec.ID.String(), Team: team, Service: service,
		EstimatedPromptTokens: spec.PromptTokens, Deadline: spec.Deadline,
	}
	if spec.Completion != nil {
		req.MaxTokens = spec.Completion.MaxTokens
	}
	return req
}

func (s *Server) register(spec request.Spec, done func(*engine.Usage)) (*request.Entry, error) {
	entry, err := s.deps.Registry.Create(spec.Received, spec)
	if err != nil {
		return nil, err
	}
	entry.OnEnd(func(finish *request.Finish) { finishAdmission(done, finish) })
	return entry, entry.Admit()
}

func finishAdmission(done func(*engine.Usage), finish *request.Finish) {
	switch {
	case done == nil:
	case finish == nil:
		done(nil)
	default:
		done(finish.Usage)
	}
}

func admissionProblem(decision *Decision) *problem {
	status := http.StatusServiceUnavailable
	if decision.OverTeamLimit {
		status = http.StatusTooManyRequests
	}
	p := notRunProblem(status, decision.Step, decision.Detail)
	p.retryAfter = decision.RetryAfter
	return p
}

func registryProblem(err error) *problem {
	detail := "the request could not be registered"
	if errors.Is(err, request.ErrFull) {
		detail = "the instance is full"
	}
	p := notRunProblem(http.StatusServiceUnavailable, "register", detail)
	p.retryAfter = time.Second
	return p
}

// parseDeadline returns the deadline that X-Deadline-Ms sets, in milliseconds from
// now, or the configured default without the header.
func (s *Server) parseDeadline(header *fasthttp.RequestHeader, now time.Time) (time.Time, *problem) {
	value := header.Peek("X-Deadline-Ms")
	if len(value) == 0 {
		return now.Add(s.cfg.DefaultDeadline), nil
	}
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || ms <= 0 || ms > s.cfg.MaxDeadline.Milliseconds() {
		return time.Time{}, notRunProblem(http.StatusBadRequest, "read", "X-Deadline-Ms must be from 1 to "+
			strconv.FormatInt(s.cfg.MaxDeadline.Milliseconds(), 10))
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

func (s *Server) record(kind timeline.Kind, spec *request.Spec, step string) {
	s.deps.Recorder.Record(timeline.Event{Kind: kind, Request: spec.ID.String(), Team: spec.Team, Step: step})
}
