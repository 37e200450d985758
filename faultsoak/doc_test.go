// Package faultsoak runs entry daemons as separate processes before stand-ins of
// a platform, injects random faults from outside them and checks the promises
// from what callers, servers and the cloud see.
//
// A run has a seed. Its faults come in series and overlap: processes are paused,
// killed, stopped and started again; loopback proxies delay, reset, cut one way
// or silence connections; the store refuses, loses answers, writes late and
// forgets its history; servers come and go; the configuration and the settings
// change. Verdicts do not depend on how long something takes.
package faultsoak
