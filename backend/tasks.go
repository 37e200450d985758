package backend

import "sync"

// taskGroup counts running goroutines. Unlike with sync.WaitGroup, wait may be called concurrently with the start of
// the first task, which happens when a request arrives during a shutdown.
type taskGroup struct {
	mu      sync.Mutex // guards the fields below
	running int
	// idle is closed when the last running task ends; nil while no call of wait blocks.
	idle chan struct{}
}

// start runs f in a new goroutine.
func (t *taskGroup) start(f func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer t.done()
		f()
	}()
}

func (t *taskGroup) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait blocks until no task runs.
func (t *taskGroup) wait() {
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
