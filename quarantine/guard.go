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

// Bounds of what a Guard remembers. Further entries are ignored until others have expired.
const (
	maxAnsweredParts = 16 << 10
	maxKnownCrashes  = 1024
	maxKnownRecords  = 1024
	// maxCrashParts is the number of parts of one crash.
	maxCrashParts = 512
)

// Guard decides which parts of prompts are quarantined. It is safe for concurrent use.
type Guard struct {
	cfg Config
	mu  sync.Mutex
	// crashes holds the crashes by process.
	crashes map[uint64]*crash
	// answered and answeredElsewhere hold the time of the last answer to each part, at this instance and at the others.
	answered, answeredElsewhere map[uint64]time.Time
	records                     map[uint64]*record
	// mayTry is set while this instance is the one that tries quarantined parts again.
	mayTry bool
	// changes holds the changes since the last Update.
	changes []Change
}

// crash is a Crash at a point in time.
type crash struct {
	at time.Time
	// learntAt is the time of the last news about the crash at this instance.
	learntAt time.Time
	parts    []uint64
	// explained is set if a quarantined part was in progress. The crash then has no parts.
	explained bool
}

// explain records at the given time that a quarantined part was in progress.
func (c *crash) explain(now time.Time) {
	if !c.explained {
		c.explained, c.parts, c.learntAt = true, nil, now
	}
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
		cfg: cfg.withDefaults(), crashes: make(map[uint64]*crash), answered: make(map[uint64]time.Time),
		answeredElsewhere: make(map[uint64]time.Time), records: make(map[uint64]*record),
	}
}

// Admit returns a RefusedError if a part of the request is quarantined, unless the request is the trial that is due.
func (g *Guard) Admit(now time.Time, parts []uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var trials []*record
	for _, part := range parts {
		r := g.records[part]
		if r == nil || r.lifted {
			continue
		}
		if wait := g.nextTrial(r).Sub(now); wait > 0 || !g.mayTry {
			r.refusedAt = now
			return &RefusedError{Part: part, RetryAfter: max(wait, minRetryAfter)}
		}
		trials = append(trials, r)
	}
	for _, r := range trials {
		r.triedAt = now
	}
	return nil
}

// minRetryAfter is the shortest RefusedError.RetryAfter.
const minRetryAfter = time.Second

// nextTrial returns the time of the next trial of a quarantined part.
func (g *Guard) nextTrial(r *record) time.Time {
	last := r.at
	if r.triedAt.After(last) {
		last = r.triedAt
	}
	return last.Add(g.cfg.TrialWait << min(r.epoch-1, maxTrialDoublings))
}

// RecordAnswer notes that an endpoint was able to answer a request with the parts.
func (g *Guard) RecordAnswer(now time.Time, parts []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		if _, known := g.answered[part]; known || len(g.answered) < maxAnsweredParts {
			g.answered[part] = now
		}
	}
}

// RecordCrash notes that a process crashed while a request with the parts was in progress there without an answer.
func (g *Guard) RecordCrash(now time.Time, process uint64, parts []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endTrials(now, parts)
	g.addCrash(now, process, now, parts)
}

// explains reports whether one of the parts is quarantined.
func (g *Guard) explains(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		r := g.records[part]
		return r != nil && !r.lifted
	})
}

// endTrials begins a new quarantine of the parts whose trial ended with a crash.
func (g *Guard) endTrials(now time.Time, parts []uint64) {
	for _, part := range parts {
		if r := g.records[part]; r != nil && !r.lifted && r.triedAt.After(r.at) {
			r.epoch, r.at = r.epoch+1, now
			g.changes = append(g.changes, Change{Kind: Imposed, Part: part, Crashes: 1, Epoch: r.epoch})
		}
	}
}

// addCrash adds the parts to the crash of the process, which is as old as its first observation. A quarantined part
// explains the crash.
func (g *Guard) addCrash(now time.Time, process uint64, at time.Time, parts []uint64) *crash {
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
	switch {
	case c.explained:
	case g.explains(parts):
		c.explain(now)
	default:
		known := len(c.parts)
		c.parts = addParts(c.parts, parts)
		c.parts = c.parts[:min(len(c.parts), maxCrashParts)]
		if len(c.parts) > known {
			c.learntAt = now
		}
	}
	return c
}

// SetMayTry sets whether this instance tries quarantined parts again. At most one instance may do so at a time.
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
		if c := g.addCrash(now, received.Process, now.Add(-received.Age), received.Parts); received.Explained {
			c.explain(now)
		}
	}
	for _, received := range evidence.Answers {
		at := now.Add(-received.Age)
		if _, known := g.answeredElsewhere[received.Part]; !known && len(g.answeredElsewhere) >= maxAnsweredParts {
			continue
		}
		if at.After(g.answeredElsewhere[received.Part]) {
			g.answeredElsewhere[received.Part] = at
		}
	}
}

// observeRecord takes over a later state of a quarantine.
func (g *Guard) observeRecord(now time.Time, received Record) {
	at, refusedAt := now.Add(-received.Age), now.Add(-received.RefusedAge)
	known := g.records[received.Part]
	if now.Sub(refusedAt) > g.cfg.Retention || received.Epoch <= 0 || known == nil && len(g.records) >= maxKnownRecords {
		return
	}
	switch {
	case known == nil || received.newerThan(known.asRecord(now, received.Part)):
		if known == nil {
			known = &record{}
			g.records[received.Part] = known
		}
		known.epoch, known.lifted, known.at = received.Epoch, received.Lifted, at
		g.noteChange(now, received)
	case known.asRecord(now, received.Part).newerThan(received):
		return
	case at.Before(known.at):
		known.at = at
	}
	if refusedAt.After(known.refusedElsewhere) {
		known.refusedElsewhere = refusedAt
	}
}

// noteChange notes a change that another instance decided.
func (g *Guard) noteChange(now time.Time, received Record) {
	change := Change{Kind: Imposed, Part: received.Part, Epoch: received.Epoch}
	if received.Lifted {
		change.Kind = Lifted
	} else {
		g.explainCrashes(now, received.Part)
	}
	g.changes = append(g.changes, change)
}

// explainCrashes marks the crashes at which a quarantined part was in progress.
func (g *Guard) explainCrashes(now time.Time, part uint64) {
	for _, c := range g.crashes {
		if slices.Contains(c.parts, part) {
			c.explain(now)
		}
	}
}

// asRecord returns the record for a message.
func (r *record) asRecord(now time.Time, part uint64) Record {
	record := Record{Part: part, Epoch: r.epoch, Lifted: r.lifted, Age: now.Sub(r.at), RefusedAge: now.Sub(r.at)}
	if !r.refusedAt.IsZero() {
		record.RefusedAge = min(record.RefusedAge, now.Sub(r.refusedAt))
	}
	return record
}

// Own returns what this instance tells the others: recent news of crashes, all quarantines, and its own answers to parts that
// matter for a decision. Crashes that others have seen are included, because those may have restarted meanwhile.
func (g *Guard) Own(now time.Time) Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own Evidence
	crashesOf := make(map[uint64]int)
	for process, c := range g.crashes {
		weight := 1
		if now.Sub(c.learntAt) <= g.cfg.ReportTime {
			weight = minReportedCrashes
			own.Crashes = append(own.Crashes, Crash{
				Process: process, Age: now.Sub(c.at), Parts: slices.Clone(c.parts), Explained: c.explained,
			})
		}
		for _, part := range c.parts {
			crashesOf[part] += weight
		}
	}
	for part, r := range g.records {
		own.Records = append(own.Records, r.asRecord(now, part))
		crashesOf[part] += minReportedCrashes
	}
	for part, n := range crashesOf {
		if at, ok := g.answered[part]; ok && n >= minReportedCrashes {
			own.Answers = append(own.Answers, Answer{Part: part, Age: now.Sub(at)})
		}
	}
	var bounded Evidence
	bounded.Merge(own)
	return bounded
}

// minReportedCrashes is the number of earlier crashes from which the answers to a part are reported. Those to parts of recent
// crashes and to quarantined parts are always reported.
const minReportedCrashes = 2
