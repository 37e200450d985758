package main

import (
	"fmt"
	"regexp"
	"sync"
	"time"

	"knapweedhoist/standin"
)

const (
	// outage is how long the platform's store answers 503.
	outage = 4500 * time.Millisecond
	// restartTime is the time from the end of a server's process to the start of the next one.
	restartTime = 200 * time.Millisecond
	// beforeFirst is the time from the begin of the outage to the end of the first server, upgradeGap that from there to the second one.
	beforeFirst, upgradeGap = 500 * time.Millisecond, 2500 * time.Millisecond
	// upgradeEvents is the number of events of a stream.
	upgradeEvents = 25
	// allowedJoins is the number of streams that may hold events of two software versions (ORDER).
	allowedJoins = 2
)

// playUpgrade restarts two model servers in turn, each under its id with the next version of its software, while the store is down.
func playUpgrade(w *world, trouble bool) (bool, error) {
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
		if err := w.register(engines[n].id, "engines", engines[n].address(), 24, map[string]any{"Version": engines[n].version}); err != nil {
			return false, err
		}
	}
	defer func() {
		for _, e := range engines {
			e.close()
		}
	}()
	if err := w.startNodes(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	joined, complete, cut, refused := 0, 0, 0, 0
	for c := range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+7*c) * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", c+1, n+1)
				got := send(w.nodes[c%2].callers, request{
					method: "POST", path: "/summary/a", id: id, key: key, limit: 4 * time.Second,
					fields: fmt.Sprintf("Model: m\r\nToken-Usage: 910,%d\r\nPrompt-Prefix: a%x:600,b%x:310\r\n", upgradeEvents*tokensPerEvent, c, 1000*c+n),
				})
				versions := versionsOf(got.body)
				w.rec.note("client has the answer to %s: status %d, events of versions %v, %v", id, got.status, versions, got.err)
				mu.Lock()
				switch {
				case len(versions) > 1:
					joined++
				case got.err != nil:
					cut++
				case got.status != 200:
					refused++
				default:
					complete++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if trouble {
		w.rec.note("the store answers 503 for %v", outage)
		w.store.Faults.Add(standin.Fault{Kind: standin.FaultOutage})
	}
	time.AfterFunc(outage, func() {
		w.rec.note("the store answers")
		w.store.Faults.Clear()
	})
	var failed error
	for n := range engines {
		time.Sleep(time.Until(began.Add(beforeFirst + time.Duration(n)*upgradeGap)))
		if engines[n], failed = w.upgrade(engines[n], "2", func() bool { return !trouble || time.Since(began) > outage }); failed != nil {
			break
		}
	}
	time.Sleep(time.Until(began.Add(outage + 2*time.Second)))
	close(stop)
	clients.Wait()
	w.rec.note("streams: %d hold events of two versions, %d complete ones of one, %d cut, %d refused", joined, complete, cut, refused)
	return joined > allowedJoins, failed
}

// upgrade ends a server's process and starts the next one at its address, under its id and with another version of its software. The
// server writes its entry as soon as the store takes it.
func (w *world) upgrade(e *engine, version string, storeUp func() bool) (*engine, error) {
	e.close()
	w.rec.note("server %s ends", e.id)
	time.Sleep(restartTime)
	next, err := startEngine(w.rec, e.id, e.slots, e.address(), version)
	if err != nil {
		return e, err
	}
	w.rec.note("server %s starts with version %s", e.id, version)
	go func() {
		for !storeUp() {
			time.Sleep(20 * time.Millisecond)
		}
		if err := w.register(e.id, "engines", e.address(), e.slots, map[string]any{"Version": version}); err == nil {
			w.rec.note("entry of %s names version %s", e.id, version)
		}
	}()
	return next, nil
}

var eventVersion = regexp.MustCompile(`(?m)^data: .* v(\S+)$`)

// versionsOf returns the software versions of the servers that made the events, in the order in which they came.
func versionsOf(body string) []string {
	var versions []string
	for _, match := range eventVersion.FindAllStringSubmatch(body, -1) {
		if len(versions) == 0 || versions[len(versions)-1] != match[1] {
			versions = append(versions, match[1])
		}
	}
	return versions
}
