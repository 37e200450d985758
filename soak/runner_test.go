package soak

import (
	"knapweedhoist/request"
)

// runner runs the requests of an instance the way package backend does, but without goroutines.
type runner struct {
	in    *instance
	tasks []*task
}

// Start implements handover.Starter.
func (r *runner) Start(entry *request.Entry) {
	in := r.in
	j := in.w.byID[entry.Spec().ID]
	j.owners = append(j.owners, in)
	t := &task{in: in, job: j, entry: entry}
	r.tasks = append(r.tasks, t)
	entry.SetCancel(func() { t.done = true })
	in.w.trace(j.traceLabel(), "started at %s of %s", in.id, in.dc)
	in.w.after(0, func() { in.do(t.start) })
}

// tick checks the timeouts and deadlines of the open tasks and drops the finished ones.
func (r *runner) tick() {
	open := r.tasks[:0]
	for _, t := range r.tasks {
		if !t.done {
			t.tick()
		}
		if !t.done {
			open = append(open, t)
		}
	}
	r.tasks = open
}

// endpointLeaving notifies all tasks that an endpoint is leaving.
func (r *runner) endpointLeaving(e *endpoint) {
	for _, t := range r.tasks {
		t.endpointLeaving(e)
	}
}
