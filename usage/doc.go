// Package usage counts the requests of each team that started to run, by
// fixed windows of the wall clock.
//
// Every instance counts its own requests and reports its counts of the recent
// windows to the others several times a second (package fleetstate). When an
// instance crashes, only its counts since its last report are lost, and any
// instance can submit the total of a window to the cloud.
//
// The package reads no clock. Ledger is safe for concurrent use.
package usage
