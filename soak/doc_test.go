// Package soak simulates a whole deployment in one process under a scripted clock
// and a seeded random source, and injects failures of all kinds, also overlapping
// and repeated ones. The control code, the request registry and the handover are
// the production packages; sockets, clock and endpoints are fakes, and
// testutil.Store stands in for the platform.
package soak
