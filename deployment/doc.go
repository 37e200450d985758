// Package deployment has the types of what an entry instance serves: the
// configuration in force, its routes, services and teams, and the endpoints
// that run them.
//
// All values are immutable once published; a change is a new value.
package deployment
