package faultsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"knapweedhoist/platform/platformtest"
)

const (
	// instances is the number of daemons: one more than contend for the duties.
	instances = 3
	// callersEach is the number of callers' connections to each daemon.
	callersEach = 4
	// patience is how long a caller waits for an answer.
	patience = 3 * time.Second
	// retrySlack is the bound of repeats in the settings that the daemons start with.
	retrySlack = 40
)

// server is a stand-in behind a link.
type server struct {
	id, service string
	backend     *platformtest.Backend
	link        *link
}

// world is one run: daemons, servers, a site and callers.
type world struct {
	seed      uint64
	rng       *rand.Rand
	site      *platformtest.Platform
	processes []*process
	// stores are the links between each daemon and the store.
	stores  []*link
	servers []*server
	ledger  ledger

	stop    chan struct{}
	callers sync.WaitGroup
	// faults counts those that still have to heal.
	faults sync.WaitGroup
}

func newWorld(seed uint64, binary, dir string) (*world, error) {
	w := &world{seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{})}
	var err error
	if w.site, err = platformtest.NewPlatform(); err != nil {
		return nil, err
	}
	for n, service := range []string{
		platformtest.EngineService, platformtest.EngineService, platformtest.EngineService,
		platformtest.PlainService, platformtest.PlainService,
	} {
		if err := w.addServer(fmt.Sprintf("i-%d", n+1), service); err != nil {
			return nil, err
		}
	}
	for n := range instances {
		if err := w.addProcess(fmt.Sprintf("entry-%d", n+1), binary, dir); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addServer(id, service string) error {
	usual := platformtest.Response{Body: answerTo("%ID%"), Delay: 5 * time.Millisecond}
	if service == platformtest.EngineService {
		usual = platformtest.Response{Events: events, EventInterval: 15 * time.Millisecond}
	}
	backend, err := platformtest.NewBackend(usual)
	if err != nil {
		return err
	}
	between, err := newLink(backend.Address())
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, backend: backend, link: between}
	w.servers = append(w.servers, s)
	return w.site.Register(id, service, between.address())
}

func (w *world) addProcess(name, binary, dir string) error {
	store, err := newLink(w.site.Store.Addr())
	if err != nil {
		return err
	}
	host := loopback(w.seed, len(w.processes))
	callers, err := newLink(host + callersPort)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return err
	}
	p := &process{
		name: name, binary: binary, settings: filepath.Join(dir, name+".yaml"), log: log, host: host, link: callers,
	}
	w.processes, w.stores = append(w.processes, p), append(w.stores, store)
	return errors.Join(w.writeSettings(len(w.processes)-1, retrySlack), p.start())
}

func (w *world) writeSettings(n, slack int) error {
	return w.processes[n].writeSettings(w.stores[n].address(), w.site.Cloud.Address(), slack)
}

// startCallers starts callers that use their connections as long as these last.
func (w *world) startCallers() {
	for n, p := range w.processes {
		for c := range callersEach {
			rng := rand.New(rand.NewPCG(w.rng.Uint64(), 0))
			w.callers.Go(func() { w.call(p, rng, fmt.Sprintf("%d-%d", n, c)) })
		}
	}
}

var paths = []string{
	platformtest.DraftPath, platformtest.DictationPath, platformtest.BookingPath, platformtest.LookupPath,
}

func (w *world) call(p *process, rng *rand.Rand, name string) {
	var caller *platformtest.Caller
	for n := 0; !isClosed(w.stop); n++ {
		if caller == nil {
			dialled, err := platformtest.Dial(p.link.address(), time.Second)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			caller = dialled
		}
		e := exchange{id: fmt.Sprintf("%s-%d", name, n), path: paths[rng.IntN(len(paths))]}
		e.outcome = caller.Do("POST", e.path, e.id, patience)
		w.ledger.add(e)
		if e.outcome.ConnClosed {
			caller.Close()
			caller = nil
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
	if caller != nil {
		caller.Close()
	}
}

// runs returns how often servers ran each request.
func (w *world) runs() map[string]int {
	runs := make(map[string]int)
	for _, s := range w.servers {
		for _, received := range s.backend.Received() {
			if received.Path != probePath {
				runs[received.ID]++
			}
		}
	}
	return runs
}

// close ends everything that the run started.
func (w *world) close() error {
	var errs []error
	for n, p := range w.processes {
		p.kill()
		p.link.close()
		w.stores[n].close()
		errs = append(errs, p.log.Close())
	}
	for _, s := range w.servers {
		s.link.close()
		s.backend.Close()
	}
	return errors.Join(append(errs, w.site.Close())...)
}
