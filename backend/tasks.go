package backend

import "sync"

// tasks counts running goroutines. Unlike sync.WaitGroup, wait may run beside
// the start of the first task, as happens when a request arrives at a shutdown.
type tasks struct {
	mu      sync.Mutex // guards the fields below
	running int
	// idle is closed when no task runs any more; nil while none has to be told.
	idle chan struct{}
}

// start runs f in a goroutine.
func (t *tasks) start(f func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer t.done()
		f()
	}()
}

func (t *tasks) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait returns when no task runs.
func (t *tasks) wait() {
	t.mu.Lock()
	if t.running == 0 {
		t.mu.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	<-idle
}
