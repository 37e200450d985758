// Package usage counts the requests of each team that started to run, by
// fixed windows of the wall clock, over all entry instances.
//
// Every instance reports its counts of the recent windows to the others several
// times a second. When an instance crashes, only its counts since its last report
// are lost, and any instance can submit the total of a window to the cloud. The counts of each
// process start form a grow-only counter, which is merged by the maximum, so that
// duplicated and reordered reports do no harm.
//
// The package reads no clock. Ledger is safe for concurrent use.
package usage
