package soak

import (
	"fmt"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/claim"
	"knapweedhoist/request"
)

// job is a caller's request as the test's ledger has it.
type job struct {
	w    *world
	spec request.Spec
	// tokens is the length of the right answer of a model.
	tokens int
	// body is what the caller sent; two jobs with one key may differ in it.
	body string

	caller caller
	// owners are the instances that ran it, in order.
	owners []*instance
	// holders are the instances that had it when they ended.
	holders []*instance
	// runs counts the endpoints that ran it, or began to.
	runs int
	// finish is what the caller got.
	finish *request.Finish
	// gone: no instance knows the request any more.
	unknownEverywhere bool
	// hindered: it was at an instance that failures kept the caller from.
	keptFromCaller bool
	// missed: it was reported that the search does not find it.
	missReported bool
	endedAt      time.Time
	// answeredAt is when an owner finished it.
	answeredAt time.Time
}

// Shares of the kinds of work.
const (
	teams      = 5
	jobsPerKey = 6
	maxTokens  = 50
)

// newJob draws a request.
func (w *world) newJob() *job {
	w.jobsMade++
	j := &job{w: w, tokens: 1 + w.rng.Intn(maxTokens)}
	j.spec = request.Spec{
		Team: fmt.Sprintf("team-%d", w.rng.Intn(teams)), Received: w.now,
		Deadline: w.now.Add(w.randomDuration(40*time.Second, 150*time.Second)),
	}
	j.body = fmt.Sprintf("body-%d", w.jobsMade)
	switch w.rng.Intn(5) {
	case 0, 1, 2:
		j.model()
	case 3:
		j.plain()
		j.spec.Idempotent = w.rng.Intn(3) == 0
	default:
		j.plain()
		j.keyed(fmt.Sprintf("key-%d", w.jobsMade/jobsPerKey), "body")
	}
	return j
}

func (j *job) model() {
	j.spec.Kind, j.spec.Service, j.spec.Idempotent = catalog.KindModel, modelService, true
	j.spec.Completion = completion(j.body)
}

func (j *job) plain() {
	j.spec.Kind, j.spec.Service = catalog.KindPlain, plainService
	j.spec.Call = &request.Call{Method: "POST", Path: "/deposits", Body: []byte(j.body)}
}

// keyed makes the job a call that must run at most once for its key.
func (j *job) keyed(key, body string) {
	j.spec.NeedsClaim, j.spec.Key, j.body = true, key, body+"-"+key
	if j.w.rng.Intn(8) == 0 {
		j.body = "other-" + key
		j.w.count("key with another body")
	}
	j.spec.Call.Body = []byte(j.body)
	j.spec.BodyHash = claim.BodyHash(j.spec.Call.Body)
}

// token is the right token at a position of the answer.
func (j *job) token(index int) string { return fmt.Sprintf("%s/%s/%d ", j.spec.Team, j.body, index) }

// answer is the right answer of a plain service.
func (j *job) answer() string { return "answer to " + j.body }

func (j *job) scope() string { return j.spec.Team + "/" + j.spec.Service + "/" + j.spec.Key }

// arrive submits new requests at random instances, now and then one key at two instances at once.
func (w *world) submitNewJobs() {
	if w.rng.Intn(100) >= arrivalsPer100Ticks {
		return
	}
	j := w.newJob()
	w.submit(j)
	if j.spec.NeedsClaim && w.rng.Intn(2) == 0 {
		second := w.newJob()
		second.spec.Team, second.spec.Idempotent = j.spec.Team, false
		second.plain()
		second.spec.Completion = nil
		second.keyed(j.spec.Key, "body")
		w.submit(second)
		w.count("key at two instances at once")
	}
}

// arrivalsPerTurn of 100 turns bring a request: two a second.
const arrivalsPer100Ticks = 10

// submit gives the job to an instance, as its gateway accepts it.
func (w *world) submit(j *job) {
	in := w.anyInstance()
	if in == nil || in.view.Catalog == nil {
		return
	}
	j.spec.ID = in.registry.NewID()
	entry, err := in.registry.Create(w.now, j.spec)
	if err != nil {
		return
	}
	if err := entry.Admit(); err != nil {
		w.fail("P1: a new request was not admitted: %v", err)
		return
	}
	w.jobs = append(w.jobs, j)
	w.allJobs = append(w.allJobs, j)
	w.byID[j.spec.ID] = j
	j.caller = caller{job: j, attachedTo: in}
	w.trace(j.traceLabel(), "accepted at %s, body %s", in.id, j.body)
	in.runner.Start(entry)
}

// about names the job in traces.
func (j *job) traceLabel() string { return j.spec.ID.String() + " " + j.scope() }
