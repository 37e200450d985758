// Package standin implements small stand-ins (fakes) for the external systems:
// the object API, model engines, plain services, the cloud API and the lagging
// list. Each stand-in except Service implements the Go interface of its client
// package. Each takes an injected clock and scripted faults, and can be served
// over HTTP on a loopback address. Tests and development tools use the
// stand-ins, singly or as a Fleet; the package does not simulate a cluster.
package standin
