package faultsoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"knapweedhoist/platform/platformtest"
	"knapweedhoist/standin"
)

const (
	// stopGrace is the setting stop_grace_s of the daemons.
	stopGrace = 6 * time.Second
	// acceptedWithin is the time after SIGTERM within which a request was sent that the end of the grace period may cut.
	acceptedWithin = 3 * time.Second
	// requestsPerStop is the number of requests around each stop, sent from beforeStop before it to afterStop after it.
	requestsPerStop       = 60
	beforeStop, afterStop = 2 * time.Second, 4500 * time.Millisecond
	// crossing is the time within which a request that was not passed on may cross the close of its connection. A busy daemon
	// reads late.
	crossing = time.Second
)

// TestRequestsThatOutlastAStop guards against requests without an answer, and streams that are cut before the last sixth of the
// grace period, around a SIGTERM that many of the requests outlast. Requests arrive in parts, further signals follow, and in
// half of the runs the store fails.
func TestRequestsThatOutlastAStop(t *testing.T) {
	binary, err := buildDaemon(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	first := intFromEnv(seedVariable, 1)
	for n := range intFromEnv(seedsVariable, 1) {
		runOutlastedStop(t, uint64(first+n), binary)
	}
}

func runOutlastedStop(t *testing.T, seed uint64, binary string) {
	g := NewWithT(t)
	r, err := newSoakRun(seed, binary, logDirectory(t, seed))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(r.close()).To(Succeed()) }()
	r.slowAnswers()
	r.awaitReady(g)
	begin := time.Now()
	stop := begin.Add(beforeStop)
	var callers sync.WaitGroup
	requests := make([]*longRequest, requestsPerStop)
	for n := range requests {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		at := begin.Add(time.Duration(rng.Int64N(int64(beforeStop + afterStop))))
		requests[n] = &longRequest{id: fmt.Sprintf("long-%d", n), path: paths[rng.IntN(len(paths))], rng: rng}
		callers.Go(func() {
			time.Sleep(time.Until(at))
			requests[n].run(r.processes[0].host + callersPort)
		})
	}
	time.Sleep(time.Until(stop))
	if seed%2 == 1 {
		defer r.platform.Store.Faults.Add(standin.Fault{Kind: standin.FaultOutage})()
	}
	stop = time.Now()
	exited := r.processes[0].signal(syscall.SIGTERM)
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		time.Sleep(time.Duration(r.rng.Int64N(int64(stopGrace / 4))))
		r.processes[0].signal(signal)
	}
	g.Eventually(exited, hangTimeout).Should(BeClosed())
	ended := time.Since(stop)
	callers.Wait()
	executions := r.executions()
	var lost []string
	counts := make(map[string]int)
	for _, request := range requests {
		result := request.result(stop, executions[request.id] > 0)
		counts[result]++
		if strings.HasPrefix(result, "lost") {
			lost = append(lost, fmt.Sprintf("%s %s: %s; sent %v, ended %v after the stop, status %d, error %v", request.path, request.id,
				result, request.sent.Sub(stop), request.ended.Sub(stop), request.status, request.err))
		}
	}
	t.Logf("seed %d: exit after %v, exit status %d, results %v", seed, ended, r.processes[0].command.ProcessState.ExitCode(), counts)
	g.Expect(lost).To(BeEmpty(), "replay: %s=%d go test ./faultsoak -run TestRequestsThatOutlastAStop -v", seedVariable, seed)
	g.Expect(r.processes[0].command.ProcessState.ExitCode()).To(BeZero())
}

// slowAnswers makes the servers answer within up to 8 s.
func (r *soakRun) slowAnswers() {
	for n, s := range r.servers {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
		engine := s.service == platformtest.EngineService
		s.backend.RespondWith(func() platformtest.Response {
			mu.Lock()
			defer mu.Unlock()
			length := time.Duration(rng.Int64N(int64(8 * time.Second)))
			if engine {
				return platformtest.Response{Events: events, EventInterval: length / events}
			}
			return platformtest.Response{Body: answerTo("%ID%"), Delay: length}
		})
	}
}

// longRequest is a request whose body is sent in parts, on a connection of its own.
type longRequest struct {
	id, path string
	rng      *rand.Rand
	// sent is when the last byte was sent, ended when the answer or the connection ended.
	sent, ended time.Time
	status      int
	// err is nil if the answer was complete.
	err error
}

func (l *longRequest) run(address string) {
	defer func() { l.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		l.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	for n, part := range l.parts() {
		if n > 0 {
			time.Sleep(time.Duration(l.rng.Int64N(int64(300 * time.Millisecond))))
		}
		if _, l.err = io.WriteString(conn, part); l.err != nil {
			return
		}
	}
	l.sent = time.Now()
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(reader, nil)
	}
	if l.err = err; err != nil {
		return
	}
	l.status = response.StatusCode
	_, l.err = io.ReadAll(response.Body)
}

// parts returns the bytes of the request in the parts that are sent.
func (l *longRequest) parts() []string {
	head := platformtest.RequestFields(http.MethodPost, l.path, l.id, hangTimeout)
	switch l.rng.IntN(5) {
	case 0:
		return []string{head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", "abc", "de"}
	case 1:
		return []string{head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n", "2\r\nde\r\n0\r\n", "\r\n"}
	case 2:
		return []string{head[:40], head[40:] + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "0\r\nX-Sum: 1\r\n\r\n"}
	case 3:
		return []string{head + "Content-Length: 5\r\n\r\nab", "cde"}
	default:
		return []string{head + "Content-Length: 5\r\n\r\nabcde"}
	}
}

// result classifies the outcome, "lost" if an answer was due.
func (l *longRequest) result(stop time.Time, executed bool) string {
	switch {
	case l.err == nil:
		return fmt.Sprintf("answered %d", l.status)
	case l.sent.IsZero() && !executed:
		return "not sent"
	case !executed && l.ended.Sub(l.sent) < crossing:
		return "crossed the close"
	case l.ended.Sub(l.sent) >= platformtest.RouteTimeout-timeoutMargin:
		return "timed out"
	case l.status == http.StatusOK && l.ended.Sub(stop) >= stopGrace*5/6 && l.sent.Sub(stop) <= acceptedWithin:
		return "cut at the end"
	default:
		return "lost"
	}
}
