package soak

import (
	"knapweedhoist/request"
)

// runner runs the requests of an instance as package backend does, without goroutines.
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

// turn lets the tasks notice silence and deadlines.
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

// leaving tells that an endpoint ends at the given time.
func (r *runner) leaving(e *endpoint) {
	for _, t := range r.tasks {
		t.endpointLeaving(e)
	}
}
