package streamorigin

import (
	"slices"
	"sync"
	"time"
)

// maxConnectionGap is the longest time between two calls of ObserveConnection without a pause of the process.
const maxConnectionGap = time.Second

// readPatience is how long a caller waits for the next read. Where reads are rarer, the last one counts for the difference.
const readPatience = 300 * time.Millisecond

// Answer is what a Directory knows of a stream.
type Answer uint8

// Answers of a Directory.
const (
	// Known means that the origin is certain.
	Known Answer = iota
	// Mixed means that several versions of the service can have begun the stream.
	Mixed
	// Incomplete means that versions of the service may have been missed: the instance has not read the shared entries since
	// it started or lost the store, or does not see the present endpoints.
	Incomplete
	// Ambiguous means that several origins were stated.
	Ambiguous
)

// String returns the reason for logs.
func (a Answer) String() string {
	switch a {
	case Known:
		return "known"
	case Mixed:
		return "several versions were in service"
	case Incomplete:
		return "versions may have been missed"
	case Ambiguous:
		return "several origins were stated"
	default:
		return "unknown answer"
	}
}

// Change is the begin or the end of the time in which streams of several versions of a service can be taken up.
type Change struct {
	Service  string
	Versions []string
	Mixed    bool
}

// Directory is what one instance knows of the origins of streams. It reads no clock and makes no call, and is safe for concurrent
// use.
type Directory struct {
	// maxAge is the age of the listed endpoints above which they may lack a version.
	maxAge time.Duration

	mu      sync.Mutex
	memory  *memory
	history *history
	// confirmedAt is the latest time at which the listed endpoints are known to have been complete.
	confirmedAt time.Time
	// connectionAt is the time of the last ObserveConnection, apartAt the last time at which this instance was not connected to all
	// others.
	connectionAt, apartAt time.Time
	// connection is what the last ObserveConnection stated.
	connection Connection
	// gapAt is the end of the last time in which versions can have been missed, unread whether the entries that other instances
	// share have not been read since. readAt is the begin of the last read.
	gapAt, readAt time.Time
	unread        bool
	// mixed holds the services with several versions, and their versions, at the last Update.
	mixed map[string][]string
	// unsent holds the streams to send to other instances.
	unsent unsent
	// announcements holds the versions to tell all other instances of.
	announcements announcements
	// unwritten is set if a stream of a mixed service has begun here since the last TakeOwn.
	unwritten bool
}

// NewDirectory returns an empty Directory. Endpoints that were not confirmed for maxAge may lack a version. maxMemory is what the
// streams may take in bytes; 0 allows MaxEntries.
func NewDirectory(maxAge time.Duration, maxMemory int) *Directory {
	limit := MaxEntries
	if maxMemory > 0 {
		limit = max(min(maxMemory/EntryBytes, MaxEntries), 1)
	}
	return &Directory{maxAge: maxAge, memory: newMemory(limit), history: newHistory(), unread: true, mixed: make(map[string][]string)}
}

// Record remembers the origin of a stream that begins at this instance.
func (d *Directory) Record(now time.Time, id string, origin Origin, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := KeyOf(id)
	added := d.memory.add(now, key, origin, until, true)
	d.history.saw(now, origin, until)
	if added && len(d.history.versions(now, origin.Service)) > 1 {
		d.unwritten = true
		d.unsent.add(key)
	}
}

// Learn takes over what another instance states.
func (d *Directory) Learn(now time.Time, statement Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for origin := range statement.InService {
		d.history.learn(now, origin)
		d.announcements.cancel(origin)
	}
	for _, entry := range statement.Entries {
		until := now.Add(entry.Remaining)
		d.memory.add(now, entry.Key, entry.Origin, until, false)
		d.history.saw(now, entry.Origin, until)
	}
}

// LearnVersions lets versions that were in service earlier count for a Lifetime.
func (d *Directory) LearnVersions(now time.Time, origins map[Origin]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for origin := range origins {
		d.history.saw(now, origin, now.Add(Lifetime))
	}
}

// SetListed sets the origins of all listed endpoints. A further version of a service is to be announced to all other instances.
func (d *Directory) SetListed(now time.Time, listed map[Origin]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, origin := range d.history.setListed(now, listed) {
		d.announcements.add(origin)
	}
}

// Confirm records that the listed endpoints were complete at the time at. After a longer time without, versions may have come and
// gone: the entries that other instances share have to be read.
func (d *Directory) Confirm(now, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.Sub(d.confirmedAt) > d.maxAge {
		d.unread, d.gapAt = true, now
	}
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// Read records that the entries that other instances share were read and learnt. The read began at begin.
func (d *Directory) Read(begin time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt = begin
	if !begin.Before(d.gapAt) {
		d.unread = false
	}
}

// Unread reports whether the entries that other instances share have to be read. That is not before the endpoints are listed: a
// version that leaves after a read would be missed.
func (d *Directory) Unread() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unread && !d.confirmedAt.IsZero()
}

// Find returns the origin of the stream that began with the caller's request id, and whether it is Known. id is "" for an unknown
// one. since is the time of the caller's request.
func (d *Directory) Find(now, since time.Time, id, service string) (Origin, Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id != "" {
		if origin, ok, ambiguous := d.memory.find(now, KeyOf(id)); ambiguous {
			return Origin{}, Ambiguous
		} else if ok {
			return origin, Known
		}
	}
	versions := d.history.versions(now, service)
	switch {
	case len(versions) > 1:
		return Origin{}, Mixed
	case len(versions) == 0 || d.unread || !d.connectedSinceConfirm(now) && !d.fresh(now, since):
		return Origin{}, Incomplete
	default:
		return Origin{Service: service, Version: versions[0]}, Known
	}
}

// connectedSinceConfirm reports whether this instance has been connected to all others since the listed endpoints were confirmed last,
// and these were confirmed lately or no instance reads the store. Then no other instance knows of a version without having announced
// it. The caller holds d.mu.
func (d *Directory) connectedSinceConfirm(now time.Time) bool {
	isBehind := d.connection.StoreReached && now.Sub(d.confirmedAt) > d.maxAge
	return d.apartAt.Before(d.confirmedAt) && now.Sub(d.connectionAt) <= maxConnectionGap && !isBehind
}

// fresh reports whether the listed endpoints were confirmed lately and the shared entries read since a time. The first alone would
// not do for an instance that has just been cut off. The caller holds d.mu.
func (d *Directory) fresh(now, since time.Time) bool {
	return now.Sub(d.confirmedAt) <= d.maxAge && !d.readAt.Before(since.Add(-max(ReadInterval(d.connection.Instances)-readPatience, 0)))
}

// ObserveConnection records how this instance is connected to the others. A process that was paused has missed a loss.
func (d *Directory) ObserveConnection(now time.Time, connection Connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !connection.Complete || now.Sub(d.connectionAt) > maxConnectionGap {
		d.apartAt = now
	}
	d.connectionAt, d.connection = now, connection
}

// Update returns the services whose streams have several versions since the last call, or no longer. The streams that began here
// before are shared from now on.
func (d *Directory) Update(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory.expire(now)
	d.history.forget(now)
	var changes []Change
	for service := range d.history.services {
		versions := d.history.versions(now, service)
		if _, known := d.mixed[service]; known || len(versions) < 2 {
			continue
		}
		d.mixed[service] = versions
		changes = append(changes, Change{Service: service, Versions: versions, Mixed: true})
		for _, entry := range slices.Backward(d.memory.own(now, func(name string) bool { return name == service })) {
			d.unwritten = true
			d.unsent.add(entry.Key)
		}
	}
	for service := range d.mixed {
		if versions := d.history.versions(now, service); len(versions) < 2 {
			delete(d.mixed, service)
			changes = append(changes, Change{Service: service, Versions: versions})
		}
	}
	if len(d.mixed) == 0 {
		d.unsent, d.unwritten, d.announcements = unsent{}, false, announcements{}
	}
	return changes
}

// Mixed reports whether streams of several versions of any service can be taken up.
func (d *Directory) Mixed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.mixed) > 0
}

// Unwritten reports whether a stream has begun here that TakeOwn has not returned.
func (d *Directory) Unwritten() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unwritten
}

// TakeOwn returns the entries of at most limit streams of services with several versions that began here, the newest first. It
// resets Unwritten.
func (d *Directory) TakeOwn(now time.Time, limit int) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unwritten = false
	entries := d.memory.own(now, func(service string) bool { return len(d.history.versions(now, service)) > 1 })
	return entries[:min(limit, len(entries))]
}

// MarkUnwritten makes Unwritten true after entries of TakeOwn could not be written.
func (d *Directory) MarkUnwritten() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unwritten = true
}

// TakeAnnouncement returns the versions to tell all other instances of now, at most maxInService. Each is returned
// announcementCount times in all, none that another instance has stated before.
func (d *Directory) TakeAnnouncement() Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Statement{InService: d.announcements.take()}
}

// TakeUnsent returns the next message: at most limit streams, the newest first, and the versions in service of their services. Each
// stream is returned twice in all.
func (d *Directory) TakeUnsent(now time.Time, limit int) Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []Entry
	for _, key := range d.unsent.take(limit) {
		if entry, ok := d.memory.entry(now, key); ok {
			entries = append(entries, entry)
		}
	}
	services := make(map[string]bool)
	for _, entry := range entries {
		services[entry.Origin.Service] = true
	}
	return Statement{InService: d.history.inService(services, maxInService), Entries: entries}
}

// Versions returns the origins that streams can have that may be taken up, of services with any stated version, and whether none
// can be missing.
func (d *Directory) Versions(now time.Time) (origins map[Origin]bool, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history.all(now), !d.unread && now.Sub(d.confirmedAt) <= d.maxAge
}

// Remembered returns the number of remembered streams.
func (d *Directory) Remembered() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.memory.records)
}
