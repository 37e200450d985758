// Package usage counts the requests of each team that began to run, by windows
// of the wall clock, over all entry instances.
//
// Every instance tells the others its counts of the recent windows several times
// a second, so that the counts of an instance that dies are lost only from its
// last report on, and any instance can report a window.
//
// The package has no clock. Ledger is safe for concurrent use.
package usage
