package soak

import (
	"fmt"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/claim"
	"knapweedhoist/request"
)

// job is a caller's request with its expected answer and what the simulation has observed of it.
type job struct {
	w    *world
	spec request.Spec
	// tokens is the number of tokens of the expected model answer.
	tokens int
	// body is the request body; two jobs with the same idempotency key may have different bodies.
	body string

	caller caller
	// owners lists the instances that accepted the request or took it over, in order.
	owners []*instance
	// holders lists the instances that held the request when they ended.
	holders []*instance
	// runs counts how often an endpoint started to run the request.
	runs int
	// finish is the final result that the caller received, nil before.
	finish *request.Finish
	// unknownEverywhere reports whether the caller stopped after maxFailedSearches searches without an owner.
	unknownEverywhere bool
	// keptFromCaller reports whether a search missed the request at an instance that held it, and checkMissedSearch excused
	// that.
	keptFromCaller bool
	// missReported reports whether a missed search was already recorded as a fault.
	missReported bool
	// endedAt is when the caller received the result or stopped searching.
	endedAt time.Time
	// answeredAt is when an owner finished the request.
	answeredAt time.Time
}

// Number of teams, and the largest number of tokens of an answer.
const (
	teams = 5
	// jobsPerKey is the number of consecutive jobs, of all kinds, whose keyed ones share a key.
	jobsPerKey = 6
	maxTokens  = 50
)

// newJob draws a request: three in five for the model service, the others for the plain service.
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
		j.forModelService()
	case 3:
		j.forPlainService()
		j.spec.Idempotent = w.rng.Intn(3) == 0
	default:
		j.forPlainService()
		j.setKey(fmt.Sprintf("key-%d", w.jobsMade/jobsPerKey), "body")
	}
	return j
}

func (j *job) forModelService() {
	j.spec.Kind, j.spec.Service, j.spec.Idempotent = catalog.KindModel, modelService, true
	j.spec.Completion = completion(j.body)
}

func (j *job) forPlainService() {
	j.spec.Kind, j.spec.Service = catalog.KindPlain, plainService
	j.spec.Call = &request.Call{Method: "POST", Path: "/deposits", Body: []byte(j.body)}
}

// setKey gives the job an idempotency key, for which the call must run at most once.
func (j *job) setKey(key, body string) {
	j.spec.NeedsClaim, j.spec.Key, j.body = true, key, body+"-"+key
	if j.w.rng.Intn(8) == 0 {
		j.body = "other-" + key
		j.w.count("key with another body")
	}
	j.spec.Call.Body = []byte(j.body)
	j.spec.CallHash = claim.BodyHash(j.spec.Call.Body)
}

// token returns the expected token at an index of the answer.
func (j *job) token(index int) string { return fmt.Sprintf("%s/%s/%d ", j.spec.Team, j.body, index) }

// answer returns the expected answer of a plain service.
func (j *job) answer() string { return "answer to " + j.body }

// scope identifies the key of a job within its team and service.
func (j *job) scope() string { return j.spec.Team + "/" + j.spec.Service + "/" + j.spec.Key }

// submitNewJobs submits a request at a random instance in arrivalsPer100Ticks percent of the ticks. For half of the keyed
// ones it submits a second request with the same key at the same time.
func (w *world) submitNewJobs() {
	if w.rng.Intn(100) >= arrivalsPer100Ticks {
		return
	}
	j := w.newJob()
	w.submit(j)
	if j.spec.NeedsClaim && w.rng.Intn(2) == 0 {
		second := w.newJob()
		second.spec.Team, second.spec.Idempotent = j.spec.Team, false
		second.forPlainService()
		second.spec.Completion = nil
		second.setKey(j.spec.Key, "body")
		w.submit(second)
		w.count("key at two instances at once")
	}
}

// arrivalsPer100Ticks of 100 ticks submit a request: two a second in ticks of control.TickInterval.
const arrivalsPer100Ticks = 10

// submit creates the job's request at a random instance, as the gateway does on acceptance. It drops the job if anyInstance
// finds none or the drawn one has no configuration yet.
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

// traceLabel identifies the job in traces.
func (j *job) traceLabel() string { return j.spec.ID.String() + " " + j.scope() }
