// Package soak runs many entry instances in one process under a scripted clock
// while failures of all kinds come at any moment, together and twice. The
// control code, the requests and the handover are the real ones; sockets, clock
// and endpoints are small fakes, and testutil.Store is the platform.
package soak
