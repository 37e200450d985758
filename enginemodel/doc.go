// Package enginemodel learns how fast the engines of a service prefill prompts and how often a shared prefix is still in
// an engine's cache, from the time that answers take to their first token.
//
// Load pattern: engines of unknown speed, some of them slowed down for moments, behind hundreds of instances that each
// see few answers. Every instance keeps decaying sums of its own answers and reports them; the estimate is computed from
// the sums of all instances, so that it converges within seconds and a new instance does not start blind.
//
// The package does no I/O and reads no clock. Learner is safe for concurrent use.
package enginemodel
