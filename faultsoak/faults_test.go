package faultsoak

import (
	"fmt"
	"syscall"
	"time"

	"knapweedhoist/platform/platformtest"
	"knapweedhoist/standin"
)

// fault starts one fault and returns what it is. What heals it runs later, so that faults overlap.
type fault func(w *world) string

var faults = []fault{
	(*world).killProcess, (*world).stopProcess, (*world).pauseProcess, (*world).killAll, (*world).changeSettings,
	(*world).harmStoreLink, (*world).harmServerLink, (*world).harmCallerLink, (*world).harmStore, (*world).compactStore,
	(*world).reconfigure, (*world).removeServer, (*world).breakAnswer,
}

// after heals a fault when a random time is over, at most within.
func (w *world) after(within time.Duration, heal func()) time.Duration {
	wait := time.Duration(w.rng.Int64N(int64(within)))
	w.faults.Go(func() {
		time.Sleep(wait)
		heal()
	})
	return wait
}

func (w *world) process() *process { return w.processes[w.rng.IntN(len(w.processes))] }

// restart starts a process again. A start fails only when the machine has no room for it, which the end of the run shows.
func restart(p *process) { _ = p.start() }

func (w *world) killProcess() string {
	p := w.process()
	p.kill()
	return fmt.Sprintf("kill %s for %v", p.name, w.after(time.Second, func() { restart(p) }))
}

// killAll kills all processes at nearly the same moment.
func (w *world) killAll() string {
	if w.rng.IntN(4) > 0 {
		return w.killProcess() // all of them is rare
	}
	for _, p := range w.processes {
		p.kill()
	}
	return fmt.Sprintf("kill all for %v", w.after(time.Second, func() {
		for _, p := range w.processes {
			restart(p)
		}
	}))
}

// stopProcess stops a process as planned; it is started again when it has ended.
func (w *world) stopProcess() string {
	p := w.process()
	ended := p.signal(syscall.SIGTERM)
	w.faults.Go(func() {
		<-ended
		restart(p)
	})
	return "stop " + p.name
}

func (w *world) pauseProcess() string {
	p := w.process()
	p.signal(syscall.SIGSTOP)
	return fmt.Sprintf("pause %s for %v", p.name, w.after(2500*time.Millisecond, func() { p.signal(syscall.SIGCONT) }))
}

// changeSettings changes a bound in the settings, with a signal or without.
func (w *world) changeSettings() string {
	n := w.rng.IntN(len(w.processes))
	if err := w.writeSettings(n, retrySlack+w.rng.IntN(20)); err != nil {
		return "settings not written: " + err.Error()
	}
	if w.rng.IntN(2) == 0 {
		w.processes[n].signal(syscall.SIGHUP)
	}
	return "settings of " + w.processes[n].name
}

func (w *world) harm(l *link, what string) string {
	kind := linkSlow + linkFault(w.rng.IntN(int(linkFaults-linkSlow)))
	l.set(kind)
	wait := w.after(2500*time.Millisecond, func() { l.set(linkSound) })
	return fmt.Sprintf("link of %s has fault %d for %v", what, kind, wait)
}

func (w *world) harmStoreLink() string {
	n := w.rng.IntN(len(w.stores))
	return w.harm(w.stores[n], w.processes[n].name+" to the store")
}

func (w *world) harmServerLink() string {
	s := w.servers[w.rng.IntN(len(w.servers))]
	return w.harm(s.link, s.id)
}

func (w *world) harmCallerLink() string {
	p := w.process()
	if w.rng.IntN(2) == 0 {
		p.link.reset()
		return "reset callers of " + p.name
	}
	return w.harm(p.link, "callers of "+p.name)
}

func (w *world) harmStore() string {
	kinds := []standin.Fault{
		{Kind: standin.FaultOutage}, {Kind: standin.FaultLostReply, Op: "put"}, {Kind: standin.FaultSilence},
		{Kind: standin.FaultLateWrite, Op: "put", Delay: 700 * time.Millisecond},
		{Kind: standin.FaultDelay, Delay: 150 * time.Millisecond}, {Kind: standin.FaultRefuse, RetryAfter: 300 * time.Millisecond},
	}
	chosen := kinds[w.rng.IntN(len(kinds))]
	remove := w.site.Store.Faults.Add(chosen)
	return fmt.Sprintf("store has %s for %v", chosen.Kind, w.after(3*time.Second, remove))
}

func (w *world) compactStore() string {
	w.site.Store.Compact()
	return "store forgets its history"
}

func (w *world) reconfigure() string {
	err := w.site.Reconfigure()
	return fmt.Sprintf("configuration %d, error %v", w.site.Version, err)
}

// removeServer removes the entry of a server, which goes on serving, and writes it again later.
func (w *world) removeServer() string {
	s := w.servers[w.rng.IntN(len(w.servers))]
	if err := w.site.Unregister(s.id); err != nil {
		return "server not removed: " + err.Error()
	}
	w.faults.Go(func() {
		time.Sleep(time.Second)
		_ = w.site.Register(s.id, s.service, s.link.address()) // fails only for an entry that cannot be encoded
	})
	return "remove " + s.id
}

// breakAnswer makes the next answer of a server a bad one.
func (w *world) breakAnswer() string {
	s := w.servers[w.rng.IntN(len(w.servers))]
	bad := []platformtest.Response{
		{Raw: "HTTP/1.1 200 OK\r\n"}, {Raw: "not an answer\r\n\r\n"}, {Status: 503, NotRun: false, Unsigned: true, Body: "full"},
		{Body: answerTo("%ID%"), Unsigned: true}, {Body: answerTo("%ID%"), Delay: 1500 * time.Millisecond},
	}
	if s.service == platformtest.EngineService {
		bad = append(bad[:2:2], platformtest.Response{Events: events, BreakAfter: 1 + w.rng.IntN(events-1)})
	}
	n := w.rng.IntN(len(bad))
	s.backend.Enqueue(bad[n])
	return fmt.Sprintf("bad answer %d of %s", n, s.id)
}
