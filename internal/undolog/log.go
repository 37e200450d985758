// Package undolog undoes the latest changes of an in-memory object store, so that a stand-in can return to an older copy of
// itself.
package undolog

import (
	"time"

	"knapweedhoist/objectapi"
)

// maxAge is the age of the oldest copy to which a store can return.
const maxAge = time.Minute

// Log holds the changes of the last minute, oldest first. The zero value is empty. It is not safe for concurrent use.
type Log struct {
	changes []change
}

// change is one change of an object.
type change struct {
	at time.Time
	// former is the object before the change, with its kind and name; its version is 0 if there was none.
	former objectapi.Object
	// version is the version of the store before the change.
	version objectapi.Version
}

// Add records a change that is made at the time at. former is the object before it, with version 0 if there is none;
// version is the version of the store before it.
func (l *Log) Add(at time.Time, former objectapi.Object, version objectapi.Version) {
	for len(l.changes) > 0 && at.Sub(l.changes[0].at) > maxAge {
		l.changes = l.changes[1:]
	}
	l.changes = append(l.changes, change{at: at, former: former, version: version})
}

// Undo removes the changes after the time to and passes the former state of each object to restore, newest change first. It
// returns the version of the store at that time; current is its present one.
func (l *Log) Undo(to time.Time, current objectapi.Version, restore func(former objectapi.Object)) objectapi.Version {
	for n := len(l.changes) - 1; n >= 0 && l.changes[n].at.After(to); n-- {
		restore(l.changes[n].former)
		current = l.changes[n].version
		l.changes = l.changes[:n]
	}
	return current
}
