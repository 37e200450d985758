// Package standin holds small stand-ins for the outside systems: the object
// API, model engines, plain services, the cloud API, the weight store and the
// lagging list. Each has a core that implements the Go interface of its client
// package, with an injected clock and scripted faults, and an HTTP server for
// loopback addresses. They are for tests and trials; there is no cluster
// simulator.
package standin
