// Package faultsoak runs entry daemons as separate processes against stand-ins
// for a platform, injects random faults from outside the processes and checks
// the guarantees from what callers, servers and the cloud observe.
//
// The seed of a run determines its faults, which start one after another and
// overlap. Processes are paused, killed, stopped and restarted. Loopback proxies
// delay or reset connections, or drop bytes in one or both directions. The store
// refuses, delays or does not answer calls, loses replies, applies writes late and
// compacts its watch history, and in a test of its own returns from older copies. Servers send malformed, unsigned, late or truncated
// responses. Server entries are removed and written again. The configuration and
// the settings change. Whether a run passes does not depend on how long a step
// takes.
package faultsoak
