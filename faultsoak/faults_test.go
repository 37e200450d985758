package faultsoak

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"knapweedhoist/platform/platformtest"
	"knapweedhoist/standin"
)

// fault injects one fault and returns its description for the log. A fault that lasts is reverted later, in another
// goroutine, so that faults overlap.
type fault func(r *soakRun) string

var faults = []fault{
	(*soakRun).killProcess, (*soakRun).stopProcess, (*soakRun).pauseProcess, (*soakRun).killOneOrAll, (*soakRun).changeSettings,
	(*soakRun).breakStoreLink, (*soakRun).breakServerLink, (*soakRun).breakCallerLink, (*soakRun).breakStore,
	(*soakRun).compactStore, (*soakRun).reconfigure, (*soakRun).removeServer, (*soakRun).breakAnswer,
	(*soakRun).leaveServer, (*soakRun).stormConfiguration, (*soakRun).addIdleCallers,
}

// revertLater schedules revert after a random time shorter than within, and returns that time.
func (r *soakRun) revertLater(within time.Duration, revert func()) time.Duration {
	wait := time.Duration(r.rng.Int64N(int64(within)))
	r.pendingReverts.Go(func() {
		time.Sleep(wait)
		revert()
	})
	return wait
}

func (r *soakRun) randomProcess() *process { return r.processes[r.rng.IntN(len(r.processes))] }

// restart starts a process again. A start fails only when the machine lacks the resources for it; awaitReady then
// repeats it at the end of the run and fails the test if it fails again.
func restart(p *process) { _ = p.start() }

func (r *soakRun) killProcess() string {
	p := r.randomProcess()
	p.kill()
	return fmt.Sprintf("kill %s for %v", p.name, r.revertLater(time.Second, func() { restart(p) }))
}

// killOneOrAll kills one process in 3 of 4 draws, otherwise all processes one directly after the other, so that killing
// all is rare.
func (r *soakRun) killOneOrAll() string {
	if r.rng.IntN(4) > 0 {
		return r.killProcess()
	}
	for _, p := range r.processes {
		p.kill()
	}
	return fmt.Sprintf("kill all for %v", r.revertLater(time.Second, func() {
		for _, p := range r.processes {
			restart(p)
		}
	}))
}

// stopProcess stops a process gracefully with SIGTERM and restarts it when it has exited.
func (r *soakRun) stopProcess() string {
	p := r.randomProcess()
	exited := p.signal(syscall.SIGTERM)
	r.pendingReverts.Go(func() {
		<-exited
		restart(p)
	})
	return "stop " + p.name
}

func (r *soakRun) pauseProcess() string {
	p := r.randomProcess()
	p.signal(syscall.SIGSTOP)
	return fmt.Sprintf("pause %s for %v", p.name, r.revertLater(2500*time.Millisecond, func() { p.signal(syscall.SIGCONT) }))
}

// changeSettings changes the retry slack in the settings file of a process, and sends SIGHUP in half of the cases.
func (r *soakRun) changeSettings() string {
	n := r.rng.IntN(len(r.processes))
	if err := r.writeSettings(n, retrySlack+r.rng.IntN(20)); err != nil {
		return "settings file not written: " + err.Error()
	}
	if r.rng.IntN(2) == 0 {
		r.processes[n].signal(syscall.SIGHUP)
	}
	return "change the settings of " + r.processes[n].name
}

func (r *soakRun) injectLinkFault(l *link, connection string) string {
	kind := linkSlow + linkFault(r.rng.IntN(int(linkFaultCount-linkSlow)))
	l.setFault(kind)
	wait := r.revertLater(2500*time.Millisecond, func() { l.setFault(linkHealthy) })
	return fmt.Sprintf("link of %s: fault %d for %v", connection, kind, wait)
}

func (r *soakRun) breakStoreLink() string {
	n := r.rng.IntN(len(r.storeLinks))
	return r.injectLinkFault(r.storeLinks[n], r.processes[n].name+" to the store")
}

func (r *soakRun) breakServerLink() string {
	s := r.servers[r.rng.IntN(len(r.servers))]
	return r.injectLinkFault(s.link, s.id())
}

func (r *soakRun) breakCallerLink() string {
	p := r.randomProcess()
	if r.rng.IntN(2) == 0 {
		p.link.reset()
		return "reset connections of callers to " + p.name
	}
	return r.injectLinkFault(p.link, "callers to "+p.name)
}

func (r *soakRun) breakStore() string {
	kinds := []standin.Fault{
		{Kind: standin.FaultOutage}, {Kind: standin.FaultLostReply, Op: "put"}, {Kind: standin.FaultSilence},
		{Kind: standin.FaultLateWrite, Op: "put", Delay: 700 * time.Millisecond},
		{Kind: standin.FaultDelay, Delay: 150 * time.Millisecond}, {Kind: standin.FaultRefuse, RetryAfter: 300 * time.Millisecond},
	}
	chosen := kinds[r.rng.IntN(len(kinds))]
	removeFault := r.platform.Store.Faults.Add(chosen)
	return fmt.Sprintf("store fault %s for %v", chosen.Kind, r.revertLater(3*time.Second, removeFault))
}

func (r *soakRun) compactStore() string {
	r.platform.Store.Compact()
	return "compact the history of the store"
}

func (r *soakRun) reconfigure() string {
	err := r.platform.Reconfigure()
	return fmt.Sprintf("write configuration %d, error %v", r.platform.Version, err)
}

const (
	// stormVersions is the number of versions of a storm, stormRoutes that of their further routes: about 0.75 MB.
	stormVersions = 20
	stormRoutes   = 4000
	// idleCallers is the number of connections that addIdleCallers opens, more than maxDescriptors allows a daemon to keep.
	idleCallers = 300
)

// stormConfiguration writes many versions of a large configuration in quick succession, then one of the usual size.
func (r *soakRun) stormConfiguration() string {
	r.platform.IdleRoutes = stormRoutes
	var errs []error
	for range stormVersions {
		errs = append(errs, r.platform.Reconfigure())
	}
	r.platform.IdleRoutes = 0
	errs = append(errs, r.platform.Reconfigure())
	return fmt.Sprintf("write %d versions of a large configuration, error %v", stormVersions, errors.Join(errs...))
}

// addIdleCallers opens connections that stay open after one request each.
func (r *soakRun) addIdleCallers() string {
	p := r.randomProcess()
	keep := time.Duration(r.rng.Int64N(int64(2 * time.Second)))
	r.pendingReverts.Go(func() {
		for range idleCallers {
			caller, err := platformtest.Dial(p.link.address(), 100*time.Millisecond)
			if err != nil {
				break
			}
			defer caller.Close()
			caller.Do("GET", probePath, "idle-"+p.name, 100*time.Millisecond)
		}
		time.Sleep(keep)
	})
	return fmt.Sprintf("open %d connections to %s for %v more", idleCallers, p.name, keep)
}

// removeServer removes the store entry of a server and writes it again after a second. The server keeps
// serving meanwhile.
func (r *soakRun) removeServer() string {
	s := r.servers[r.rng.IntN(len(r.servers))]
	id := s.id()
	if err := r.platform.Unregister(id); err != nil {
		return "server entry not removed: " + err.Error()
	}
	r.pendingReverts.Go(func() {
		time.Sleep(time.Second)
		if s.id() != id {
			return // it has left meanwhile
		}
		_ = r.platform.Register(id, s.service, s.link.address()) // fails only when the entry cannot be encoded
	})
	return "remove the entry of " + id
}

// leaveServer makes a server state in its next answer that it leaves. A second later it registers under another id, as a
// process that has started after it.
func (r *soakRun) leaveServer() string {
	s := r.servers[r.rng.IntN(len(r.servers))]
	response := platformtest.Response{Body: answerTo("%ID%"), Fields: "Server-Leaving: 1\r\n"}
	if s.service == platformtest.EngineService {
		response.Body, response.Events = "", events
	}
	s.backend.Enqueue(response)
	r.pendingReverts.Go(func() {
		time.Sleep(time.Second)
		former, id := s.restart()
		_ = r.platform.Unregister(former) // fails only when the store has no entry, or an entry cannot be encoded
		_ = r.platform.Register(id, s.service, s.link.address())
	})
	return "let " + s.id() + " leave"
}

// breakAnswer makes a server answer one of its next requests with a faulty response: malformed, truncated or a refusal that
// asks for a pause, or from plain servers also unsigned or late.
func (r *soakRun) breakAnswer() string {
	s := r.servers[r.rng.IntN(len(r.servers))]
	responses := []platformtest.Response{
		{Raw: "HTTP/1.1 200 OK\r\n"}, {Raw: "not an answer\r\n\r\n"}, {Status: 503, MarkNotRun: false, Unsigned: true, Body: "full"},
		{Status: 503, MarkNotRun: true, Body: "full", Fields: "Retry-After: 0.700\r\n"}, {Body: answerTo("%ID%"), Unsigned: true}, {Body: answerTo("%ID%"), Delay: 1500 * time.Millisecond},
	}
	if s.service == platformtest.EngineService {
		responses = append([]platformtest.Response{responses[0], responses[1], responses[3]}, platformtest.Response{Events: events, BreakAfter: 1 + r.rng.IntN(events-1)})
	}
	n := r.rng.IntN(len(responses))
	s.backend.Enqueue(responses[n])
	return fmt.Sprintf("faulty answer %d of %s", n, s.id())
}
