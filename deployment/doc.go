// Package deployment defines what an entry instance serves: the configuration in
// force with its routes, services and teams, and the endpoints of the services.
// Package entry publishes them in a State; the request path reads them.
//
// All values are immutable once published: a change publishes a new value.
package deployment
