package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knapweedhoist/platform/platformtest"
)

const (
	oldVersion, newVersion = "v1", "v2"
	// oldServers and newServers are the numbers of servers of each version at the start. minServers of the old one stay.
	oldServers, newServers, minServers = 4, 2, 2
	// versionCallers is the number of callers, maxTries that of the tries of one stream.
	versionCallers, maxTries = 24, 6
	// versionEventInterval is the time after each event.
	versionEventInterval = 30 * time.Millisecond
	// drainTime is how long an old server stays registered after it has announced that it leaves.
	drainTime = time.Second
)

// versionRun is a soakRun whose engines have two software versions, with callers that take broken streams up.
type versionRun struct {
	*soakRun
	// leaving is the number of old servers that have been replaced.
	leaving int
	// calm is set while only connections of callers are reset.
	calm atomic.Bool

	mu                 sync.Mutex
	streams            []*versionStream
	newCalm, takenCalm attemptCounts
}

func newVersionRun(seed uint64, binary, dir string) (*versionRun, error) {
	r, err := newEmptyRun(seed)
	if err != nil {
		return nil, err
	}
	run := &versionRun{soakRun: r}
	for range oldServers {
		if err := run.addEngine(oldVersion); err != nil {
			return nil, err
		}
	}
	for range newServers {
		if err := run.addEngine(newVersion); err != nil {
			return nil, err
		}
	}
	if err := r.addServer("plain", platformtest.PlainService, defaultResponse(platformtest.PlainService)); err != nil { // for awaitService
		return nil, err
	}
	return run, r.addProcesses(binary, dir)
}

// streamOf returns the answer of an engine whose software has this version.
func streamOf(version string) platformtest.Response {
	return platformtest.Response{Events: versionEvents, EventInterval: versionEventInterval, Version: version}
}

// addEngine starts an engine whose software has this version.
func (r *versionRun) addEngine(version string) error {
	return r.addServer(fmt.Sprintf("%s-%d", version, len(r.servers)), platformtest.EngineService, streamOf(version))
}

// replaceEngine lets an old engine leave and starts a new one.
func (r *versionRun) replaceEngine() string {
	if r.leaving == oldServers-minServers {
		return r.resetServer()
	}
	s := r.servers[r.leaving]
	r.leaving++
	leaving := streamOf(oldVersion)
	leaving.Fields = "Server-Leaving: 1\r\n"
	s.backend.Enqueue(leaving)
	r.pendingReverts.Go(func() {
		time.Sleep(drainTime)
		_ = r.platform.Unregister(s.id()) // fails only when the store has no entry
	})
	return fmt.Sprintf("replace %s, error %v", s.id(), r.addEngine(newVersion))
}

// resetServer breaks the streams of one server.
func (r *versionRun) resetServer() string {
	s := r.servers[r.rng.IntN(len(r.servers))]
	s.link.reset()
	return "reset connections to " + s.id()
}

// injectFault injects a random fault and returns its description.
func (r *versionRun) injectFault() string {
	switch r.rng.IntN(8) {
	case 0, 1:
		return r.killProcess()
	case 2:
		return r.killOneOrAll()
	case 3, 4:
		p := r.randomProcess()
		p.link.reset()
		return "reset connections of callers to " + p.name
	case 5, 6:
		return r.resetServer()
	default:
		return r.replaceEngine()
	}
}

// startCallers starts callers that use all daemons.
func (r *versionRun) startCallers() {
	for n := range versionCallers {
		rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
		r.callers.Go(func() {
			for k := 0; !isClosed(r.stop); k++ {
				r.runStream(rng, &versionStream{name: fmt.Sprintf("s-%d-%d", n, k)})
			}
		})
	}
}

// runStream sends the request of a stream, and takes the stream up each time that it breaks.
func (r *versionRun) runStream(rng *rand.Rand, s *versionStream) {
	for try := 0; try < maxTries && !s.complete && !isClosed(r.stop); try++ {
		calm := r.calm.Load()
		id, takenUp := fmt.Sprintf("%s-%d", s.name, try), s.events > 0
		outcome := r.try(rng, s, id)
		served := s.add(id, outcome) > 0 || s.complete
		if calm {
			r.count(takenUp, served)
		}
		if !s.complete {
			time.Sleep(takeUpPause)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, s)
}

func (r *versionRun) try(rng *rand.Rand, s *versionStream, id string) platformtest.Outcome {
	caller, err := platformtest.Dial(r.processes[rng.IntN(len(r.processes))].link.address(), time.Second)
	if err != nil {
		return platformtest.Outcome{ConnClosed: true}
	}
	defer caller.Close()
	if s.events == 0 {
		return caller.Do(http.MethodPost, platformtest.DraftPath, id, callerTimeout)
	}
	return caller.Resume(http.MethodPost, platformtest.DraftPath, id, callerTimeout, s.first, s.events)
}

func (r *versionRun) count(takenUp, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if takenUp {
		r.takenCalm.add(served)
	} else {
		r.newCalm.add(served)
	}
}

// violations returns the first violation of each stream that has one.
func (r *versionRun) violations() (texts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		if len(s.violations) > 0 {
			texts = append(texts, fmt.Sprintf("%s: %s; tries: %q", s.name, s.violations[0], s.tries))
		}
	}
	return texts
}
