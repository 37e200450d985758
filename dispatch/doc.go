// Package dispatch chooses the endpoint for each request of a platform's
// routes and keeps what the choice needs: the work in progress here and at the
// other instances, the prompt prefixes that endpoints have cached, and recent
// failures.
//
// Load pattern: many instances place long prompts on few engines with reports
// that are hundreds of milliseconds old. Every instance ranks the engines for a
// shared prefix by the same hash, so that a prefix is read once without any
// message, and leaves that ranking only where the work in front of the request
// costs more than reading the prefix again.
//
// The package has no sockets, clock or randomness. Table is safe for concurrent use.
package dispatch
