package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// silence is how long a sound server falls silent: "a second or so".
	silence = 1300 * time.Millisecond
	// bothWork is how long two servers may work on a request (TWICE).
	bothWork = 400 * time.Millisecond
	// summaries is the number of streams that clients send at once; summaryEvents the number of events of each. The sizes are those of
	// thread-summary on the sheet of Zapateo Andino: 2,520 and 3,780 shared tokens and 2,890 of its own, up to 29 events.
	summaries     = 32
	summaryEvents = 25
)

// playSilent lets one of two model servers fall silent for a second or so while it has streams that may be resumed.
func playSilent(w *world, trouble bool) (bool, error) {
	route := map[string]any{
		"Name": "summary", "Host": host, "PathPrefix": "/summary/", "Kind": "stream", "Service": "engines", "TimeoutMs": 4000,
		"TargetLatencyMs": 400, "MaxAttempts": 2, "CanResume": true, "GapAimMs": 300, "Priority": 0, "Sticky": true,
	}
	err := w.configure(map[string]any{
		"Routes":   []any{route},
		"Services": []any{map[string]any{"Name": "engines", "MaxConnections": 530, "Engine": map[string]any{"Slots": 24, "KvTokens": 973154}}},
	})
	if err != nil {
		return false, err
	}
	engines := make([]*engine, 2)
	for n := range engines {
		if engines[n], err = newEngine(w.rec, fmt.Sprintf("i-%d", n+1), 24); err != nil {
			return false, err
		}
		defer engines[n].close()
		if err := w.register(engines[n].id, "engines", engines[n].address(), 24, nil); err != nil {
			return false, err
		}
	}
	var works workLog
	for _, e := range engines {
		e.afterSteps(func() { works.observe(e) })
	}
	if err := w.startNodes(2); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	answers := make([]answer, summaries)
	for n := range answers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("stream-%d", n+1)
			w.rec.note("client sends %s to %s", id, w.nodes[n%2].name)
			answers[n] = send(w.nodes[n%2].callers, request{
				method: "POST", path: "/summary/a", id: id, key: key, limit: 4 * time.Second,
				fields: fmt.Sprintf("Model: m\r\nToken-Usage: 9190,%d\r\nPrompt-Prefix: a%x:2520,b%x:3780,c%x:2890\r\n",
					summaryEvents*tokensPerEvent, n%4, n, n),
			})
			w.rec.note("client has the answer to %s: status %d, %d bytes, %v", id, answers[n].status, len(answers[n].body), answers[n].err)
		}()
	}
	if trouble {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if engines[0].streaming(2) >= summaries/3 {
				engines[0].fallSilent(silence)
				break
			}
		}
	}
	clients.Wait()
	return works.check(w.rec), nil
}

// span is the work of one server on one request.
type span struct{ begun, firstToken, last time.Time }

// workLog knows when each server worked on each request.
type workLog struct {
	mu sync.Mutex
	// spans has the work by request and server.
	spans map[string]map[string]span
}

func (l *workLog) observe(e *engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.spans == nil {
		l.spans = make(map[string]map[string]span)
	}
	for _, r := range e.runs {
		if r.workBegan.IsZero() {
			continue
		}
		if l.spans[r.id] == nil {
			l.spans[r.id] = make(map[string]span)
		}
		l.spans[r.id][e.id] = span{r.workBegan, r.tokenAt, r.workedAt}
	}
}

// check reports whether a server made tokens for a request over bothWork after another server, at which the request had gone on,
// made its first one. The time since the other server began to read the prompt is recorded, too.
func (l *workLog) check(rec *record) (broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, servers := range l.spans {
		for before, earlier := range servers {
			for after, later := range servers {
				if !later.begun.After(earlier.begun) || later.firstToken.IsZero() {
					continue
				}
				both := earlier.last.Sub(later.firstToken)
				rec.note("%s went on at %s; %s worked on it until %v after the first token there, %v after the begin of its work", id, after, before,
					both.Round(time.Millisecond), earlier.last.Sub(later.begun).Round(time.Millisecond))
				if both > bothWork {
					broken = true
				}
			}
		}
	}
	return broken
}
