package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// ProcessKey identifies the process of an endpoint: its ID and its start as Unix time in milliseconds.
func ProcessKey(endpoint string, startedAtMs int64) uint64 {
	return xxh3.HashString(endpoint + "/" + strconv.FormatInt(startedAtMs, 10))
}

// Bounds of what a Guard remembers. Further crashes and quarantines are ignored until others have expired.
const (
	maxAnsweredKeys = 16 << 10
	maxKnownCrashes = 1024
	maxKnownRecords = 1024
	// maxCrashKeys is the number of keys of one crash.
	maxCrashKeys = 512
)

// Guard decides which keys are quarantined. It is safe for concurrent use.
type Guard struct {
	cfg Config
	mu  sync.Mutex
	// crashes holds the crashes by process.
	crashes map[uint64]*crash
	// answered and answeredElsewhere hold the time of the last answer to each key, at this instance and at the others.
	answered, answeredElsewhere map[Key]time.Time
	records                     map[Key]*record
	// suspected holds the time of the last crash at which each request was in progress, for Config.DecisionDelay.
	suspected map[Key]time.Time
	caution   caution
	// mayTry is set while this instance is the one that tries quarantined keys again.
	mayTry bool
	// changes holds the changes since the last Update.
	changes []Change
}

// crash is a Crash at a point in time.
type crash struct {
	at time.Time
	// learntAt is the time of the last news about the crash at this instance.
	learntAt time.Time
	keys     []Key
}

// record is a Record at points in time.
type record struct {
	epoch  int
	lifted bool
	at     time.Time
	// refusedAt and refusedElsewhere are the times of the last refusals, triedAt that of the last trial at this instance.
	refusedAt, refusedElsewhere, triedAt time.Time
}

// lastUse returns the time from which Config.Retention counts.
func (r *record) lastUse() time.Time {
	last := r.at
	for _, at := range []time.Time{r.refusedAt, r.refusedElsewhere} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// NewGuard returns a Guard without any quarantine.
func NewGuard(cfg Config) *Guard {
	return &Guard{
		cfg: cfg.withDefaults(), crashes: make(map[uint64]*crash), answered: make(map[Key]time.Time),
		answeredElsewhere: make(map[Key]time.Time), records: make(map[Key]*record),
		suspected: make(map[Key]time.Time),
	}
}

// Admit returns a RefusedError if a key of the request is quarantined, unless the request is the trial that is due.
func (g *Guard) Admit(now time.Time, request Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var trials []*record
	for _, key := range request.keys() {
		r := g.records[key]
		if r == nil || r.lifted {
			continue
		}
		if wait := g.nextTrial(r).Sub(now); wait > 0 || !g.mayTry {
			r.refusedAt = now
			return &RefusedError{Key: key, RetryAfter: max(wait, minRetryAfter)}
		}
		trials = append(trials, r)
	}
	if err := g.refuseSuspended(now, request); err != nil {
		return err
	}
	for _, r := range trials {
		r.triedAt = now
	}
	return nil
}

// AdmitAgain returns a RefusedError if a key of the request was quarantined or suspended after it was admitted.
func (g *Guard) AdmitAgain(now, admittedAt time.Time, request Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range request.keys() {
		if g.caution.suspended[key].since.After(admittedAt) {
			return &RefusedError{Key: key, RetryAfter: minRetryAfter}
		}
		if r := g.records[key]; r != nil && !r.lifted && r.at.After(admittedAt) {
			r.refusedAt = now
			return &RefusedError{Key: key, RetryAfter: max(g.nextTrial(r).Sub(now), minRetryAfter)}
		}
	}
	return nil
}

// EvidenceWait returns the time until it is known what speaks for and against a request that was in progress at a crash, 0 if there
// is nothing to wait for or the request was answered of late. Until then it should not be sent to a further endpoint.
func (g *Guard) EvidenceWait(now time.Time, request Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.suspected[request.Key]
	if !ok || !g.lastAnswer(request.Key).IsZero() {
		return 0
	}
	wait := at.Add(g.cfg.DecisionDelay).Sub(now)
	if wait <= 0 {
		g.decide(now) // the next Update may come later than the request
	}
	return max(wait, 0)
}

// minRetryAfter is the shortest RefusedError.RetryAfter.
const minRetryAfter = time.Second

// nextTrial returns the time of the next trial of a quarantined key.
func (g *Guard) nextTrial(r *record) time.Time {
	last := r.at
	if r.triedAt.After(last) {
		last = r.triedAt
	}
	return last.Add(g.cfg.TrialWait << min(r.epoch-1, maxTrialDoublings))
}

// RecordAnswer notes that an endpoint was able to answer a request with the keys.
func (g *Guard) RecordAnswer(now time.Time, request Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range request.keys() {
		noteAnswer(g.answered, key, now)
	}
}

// noteAnswer records an answer to a key, in place of any other one if the memory is full.
func noteAnswer(answered map[Key]time.Time, key Key, at time.Time) {
	if _, known := answered[key]; !known && len(answered) >= maxAnsweredKeys {
		for other := range answered {
			delete(answered, other)
			break
		}
	}
	answered[key] = at
}

// RecordCrash notes that a process crashed while a request with the keys was in progress there without an answer.
func (g *Guard) RecordCrash(now time.Time, process uint64, request Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endTrials(now, request.keys())
	g.addCrash(now, process, now, request.keys())
	if g.caution.covers(now) {
		g.suspend(now) // the next Update may come later than the next request
	}
}

// isQuarantined reports whether requests with the key are refused.
func (g *Guard) isQuarantined(key Key) bool {
	r := g.records[key]
	return r != nil && !r.lifted
}

// endTrials begins a new quarantine of the keys whose trial ended with a crash.
func (g *Guard) endTrials(now time.Time, keys []Key) {
	for _, key := range keys {
		if r := g.records[key]; r != nil && !r.lifted && r.triedAt.After(r.at) {
			r.epoch, r.at = r.epoch+1, now
			g.changes = append(g.changes, Change{Kind: Imposed, Key: key, Crashes: 1, Epoch: r.epoch})
		}
	}
}

// addCrash adds the keys to the crash of the process, which is as old as its first observation.
func (g *Guard) addCrash(now time.Time, process uint64, at time.Time, keys []Key) {
	c := g.crashes[process]
	if c == nil {
		c = &crash{at: at, learntAt: now}
		if len(g.crashes) < maxKnownCrashes {
			g.crashes[process] = c
		}
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, key := range keys {
		if key.IsRequest() && c.at.After(g.suspected[key]) {
			g.suspected[key] = c.at
		}
	}
	known := len(c.keys)
	c.keys = addKeys(c.keys, keys)
	c.keys = c.keys[:min(len(c.keys), maxCrashKeys)]
	if len(c.keys) > known {
		c.learntAt = now
	}
}

// SetMayTry sets whether this instance tries quarantined keys again. At most one instance may do so at a time.
func (g *Guard) SetMayTry(mayTry bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mayTry = mayTry
}

// Observe adds the evidence of other instances.
func (g *Guard) Observe(now time.Time, evidence Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, received := range evidence.Records {
		g.observeRecord(now, received)
	}
	for _, received := range evidence.Crashes {
		// Others keep a crash a little longer, since messages take time. Without the shorter limit for unknown crashes, instances
		// would pass it back and forth for ever.
		if g.crashes[received.Process] == nil && received.Age > g.cfg.EvidenceTTL/2 {
			continue
		}
		g.addCrash(now, received.Process, now.Add(-received.Age), received.Keys)
	}
	for _, received := range evidence.Answers {
		at := now.Add(-received.Age)
		if at.After(g.answeredElsewhere[received.Key]) {
			noteAnswer(g.answeredElsewhere, received.Key, at)
		}
	}
}

// observeRecord takes over a later state of a quarantine.
func (g *Guard) observeRecord(now time.Time, received Record) {
	at, refusedAt := now.Add(-received.Age), now.Add(-received.RefusedAge)
	known := g.records[received.Key]
	if now.Sub(refusedAt) > g.cfg.Retention || received.Epoch <= 0 || known == nil && len(g.records) >= maxKnownRecords {
		return
	}
	switch {
	case known == nil || received.newerThan(known.asRecord(now, received.Key)):
		if known == nil {
			known = &record{}
			g.records[received.Key] = known
		}
		known.epoch, known.lifted, known.at = received.Epoch, received.Lifted, at
		g.noteChange(received)
	case known.asRecord(now, received.Key).newerThan(received):
		return
	case at.Before(known.at):
		known.at = at
	}
	if refusedAt.After(known.refusedElsewhere) {
		known.refusedElsewhere = refusedAt
	}
}

// noteChange notes a change that another instance decided.
func (g *Guard) noteChange(received Record) {
	change := Change{Kind: Imposed, Key: received.Key, Epoch: received.Epoch}
	if received.Lifted {
		change.Kind = Lifted
	}
	g.changes = append(g.changes, change)
}

// asRecord returns the record for a message.
func (r *record) asRecord(now time.Time, key Key) Record {
	record := Record{Key: key, Epoch: r.epoch, Lifted: r.lifted, Age: now.Sub(r.at), RefusedAge: now.Sub(r.at)}
	if !r.refusedAt.IsZero() {
		record.RefusedAge = min(record.RefusedAge, now.Sub(r.refusedAt))
	}
	return record
}

// Own returns what this instance tells the others: recent news of crashes, all quarantines, and its own answers to keys that
// matter for a decision. Crashes that others have seen are included, because those may have restarted meanwhile.
func (g *Guard) Own(now time.Time) Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own Evidence
	crashesOf := make(map[Key]int)
	for process, c := range g.crashes {
		weight := 1
		if now.Sub(c.learntAt) <= g.cfg.ReportTime {
			weight = minReportedCrashes
			own.Crashes = append(own.Crashes, Crash{
				Process: process, Age: now.Sub(c.at), Keys: slices.Clone(c.keys),
			})
		}
		for _, key := range c.keys {
			crashesOf[key] += weight
		}
	}
	for key, r := range g.records {
		own.Records = append(own.Records, r.asRecord(now, key))
		crashesOf[key] += minReportedCrashes
	}
	for key := range g.caution.suspended {
		crashesOf[key] += minReportedCrashes
	}
	for key, n := range crashesOf {
		if at, ok := g.answered[key]; ok && n >= minReportedCrashes {
			own.Answers = append(own.Answers, Answer{Key: key, Age: now.Sub(at)})
		}
	}
	var bounded Evidence
	bounded.Merge(own)
	return bounded
}

// minReportedCrashes is the number of earlier crashes from which the answers to a key are reported. Those to keys of recent
// crashes, and to suspended and quarantined keys, are always reported.
const minReportedCrashes = 2
