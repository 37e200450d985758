// Package dispatch selects an endpoint for each request of a platform's
// routes. It tracks the inputs of that choice for every endpoint: in-flight
// work of this instance and of the other instances, the prompt prefixes that
// the endpoint has cached, and recent failures.
//
// Load pattern: many instances place long prompts on few engines with load
// reports that are hundreds of milliseconds old. Every instance ranks the engines
// for a shared prefix by the same rendezvous hash, so that a prefix is prefilled
// on one engine without any coordination message. An instance departs from that
// ranking only where the work queued ahead of the request, recent failures or the
// other costs of the preferred engine are higher than the cost of prefilling the
// prefix again on another engine.
//
// Load pattern: an endpoint that leaves, pauses or has crashed is told to each
// instance by its own answers and connections. All reasons not to choose an endpoint
// are in avoidance.go; every choice, also one for a repeat or a resumed stream, goes
// through them.
//
// The package does no network I/O, reads no clock and uses no randomness.
// Balancer is safe for concurrent use.
package dispatch
