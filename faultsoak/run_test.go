package faultsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/platform/platformtest"
)

const (
	// daemonCount is the number of daemons: one more than the two that contend for the lease of the duties.
	daemonCount = 3
	// callersPerDaemon is the number of callers of each daemon, each with one connection.
	callersPerDaemon = 4
	// callerTimeout is the time that a caller waits for an answer.
	callerTimeout = 3 * time.Second
	// retrySlack is the value of retries.slack in the settings with which the daemons start.
	retrySlack = 40
)

// server is a stand-in for a server, which the daemons reach through link.
type server struct {
	name, service string
	backend       *platformtest.Backend
	link          *link
	// starts counts the processes that have registered, see leaveServer.
	starts atomic.Int32
}

// id returns the id of the current process.
func (s *server) id() string { return fmt.Sprintf("%s-%d", s.name, s.starts.Load()) }

// restart returns the ids of the former and of the new process, which does not send what the former one was to send.
func (s *server) restart() (former, id string) {
	former = s.id()
	s.starts.Add(1)
	s.backend.DropEnqueued()
	return former, s.id()
}

// soakRun is the state of one run: the platform, the daemons, the servers and the callers.
type soakRun struct {
	seed      uint64
	rng       *rand.Rand
	platform  *platformtest.Platform
	processes []*process
	// storeLinks has the link of each daemon to the store, in the order of processes.
	storeLinks []*link
	servers    []*server
	ledger     ledger

	// stop is closed by stopCallers.
	stop     chan struct{}
	stopOnce sync.Once
	callers  sync.WaitGroup
	// pendingReverts waits for the goroutines that have not reverted their fault yet.
	pendingReverts sync.WaitGroup
}

func newSoakRun(seed uint64, binary, dir string) (*soakRun, error) {
	r, err := newEmptyRun(seed)
	if err != nil {
		return nil, err
	}
	for n, service := range []string{
		platformtest.EngineService, platformtest.EngineService, platformtest.EngineService,
		platformtest.PlainService, platformtest.PlainService,
	} {
		if err := r.addServer(fmt.Sprintf("i-%d", n+1), service, defaultResponse(service)); err != nil {
			return nil, err
		}
	}
	return r, r.addProcesses(binary, dir)
}

// newEmptyRun returns a run with a platform, but without servers and daemons.
func newEmptyRun(seed uint64) (*soakRun, error) {
	platform, err := platformtest.NewPlatform()
	if err != nil {
		return nil, err
	}
	return &soakRun{seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), platform: platform, stop: make(chan struct{})}, nil
}

func (r *soakRun) addProcesses(binary, dir string) error {
	for n := range daemonCount {
		if err := r.addProcess(fmt.Sprintf("entry-%d", n+1), binary, dir); err != nil {
			return err
		}
	}
	return nil
}

// defaultResponse returns what the servers of a service answer.
func defaultResponse(service string) platformtest.Response {
	if service == platformtest.EngineService {
		return platformtest.Response{Events: events, EventInterval: 15 * time.Millisecond}
	}
	return platformtest.Response{Body: answerTo("%ID%"), Delay: 5 * time.Millisecond}
}

// addServer starts and registers a server whose entry names the version of response.
func (r *soakRun) addServer(name, service string, response platformtest.Response) error {
	backend, err := platformtest.NewBackend(response)
	if err != nil {
		return err
	}
	proxy, err := newLink(backend.Address())
	if err != nil {
		return err
	}
	s := &server{name: name, service: service, backend: backend, link: proxy}
	r.servers = append(r.servers, s)
	return r.platform.RegisterVersion(s.id(), service, proxy.address(), response.Version)
}

func (r *soakRun) addProcess(name, binary, dir string) error {
	store, err := newLink(r.platform.Store.Addr())
	if err != nil {
		return err
	}
	host := loopbackAddress(r.seed, len(r.processes))
	callers, err := newLink(host + callersPort)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return err
	}
	p := &process{
		name: name, binary: binary, settingsPath: filepath.Join(dir, name+".yaml"), log: log, host: host, link: callers,
	}
	r.processes, r.storeLinks = append(r.processes, p), append(r.storeLinks, store)
	return errors.Join(r.writeSettings(len(r.processes)-1, retrySlack), p.start())
}

func (r *soakRun) writeSettings(n, slack int) error {
	return r.processes[n].writeSettings(r.storeLinks[n].address(), r.platform.Cloud.Address(), slack)
}

// startCallers starts the callers of each daemon. A caller reuses its connection until the connection is closed, then
// opens another.
func (r *soakRun) startCallers() {
	for n, p := range r.processes {
		for c := range callersPerDaemon {
			rng := rand.New(rand.NewPCG(r.rng.Uint64(), 0))
			r.callers.Go(func() { r.runCaller(p, rng, fmt.Sprintf("%d-%d", n, c)) })
		}
	}
}

var paths = []string{
	platformtest.DraftPath, platformtest.DictationPath, platformtest.BookingPath, platformtest.LookupPath,
}

func (r *soakRun) runCaller(p *process, rng *rand.Rand, name string) {
	var caller *platformtest.Caller
	for n := 0; !isClosed(r.stop); n++ {
		if caller == nil {
			dialled, err := platformtest.Dial(p.link.address(), time.Second)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			caller = dialled
		}
		e := exchange{id: fmt.Sprintf("%s-%d", name, n), path: paths[rng.IntN(len(paths))]}
		begin := time.Now()
		e.outcome = caller.Do("POST", e.path, e.id, callerTimeout)
		e.elapsed = time.Since(begin)
		r.ledger.add(e)
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

// executions returns how often the servers ran each request, by request id. It leaves out the requests of awaitService and
// versionStatus, and those that a server refused to run.
func (r *soakRun) executions() map[string]int {
	executions := make(map[string]int)
	for _, s := range r.servers {
		for _, received := range s.backend.Received() {
			if !strings.HasSuffix(received.Path, "/"+probeName) && !received.Refused {
				executions[received.ID]++
			}
		}
	}
	return executions
}

// stopCallers ends the callers and waits for them.
func (r *soakRun) stopCallers() {
	r.stopOnce.Do(func() { close(r.stop) })
	r.callers.Wait()
}

// close stops the callers, which would send to later runs otherwise, kills the daemons and closes the links, the servers and
// the platform of the run.
func (r *soakRun) close() error {
	r.stopCallers()
	var errs []error
	for n, p := range r.processes {
		p.kill()
		p.link.close()
		r.storeLinks[n].close()
		errs = append(errs, p.log.Close())
	}
	for _, s := range r.servers {
		s.link.close()
		s.backend.Close()
	}
	return errors.Join(append(errs, r.platform.Close())...)
}
