// Package standin implements small stand-ins (fakes) for the external systems:
// the object API, model engines, plain services, the cloud API, the weight store
// and the lagging list. Each stand-in implements the Go interface of its client
// package, takes an injected clock and scripted faults, and can be served over
// HTTP on a loopback address. Tests and trials use the stand-ins; the package
// does not simulate a cluster.
package standin
