// Package soak simulates a whole deployment in one process under a scripted clock
// and a seeded random source, and injects failures of all kinds, also overlapping
// and repeated ones. The control code, the request registry and the handover are
// the production packages; sockets, clock and endpoints are fakes, and
// testutil.Store stands in for the platform. Simplified copies replace package
// backend, which runs the requests, and the pollers and the attacher of the root
// package.
//
// After the number of the step, a fault message names the violated guarantee or the part at fault
// (claim, configuration, fence, invariant, lease):
//
//   - P1: the caller of an accepted request gets a final event, or learns that no
//     instance holds the request; a repeatable request gets its answer, except for
//     the failures that job.excused lists.
//   - P2: a caller receives each event once, in order and with the right content,
//     and can re-attach through any instance, with its own team's credential only.
//   - P3: a request that is reported as not_run has not run.
//   - P4: a request that is not repeatable runs at most once, also under a shared key.
//   - P5: an instance sends an endpoint no new work later than maxLeaveDelay after it
//     saw the endpoint's leave or, without failures, after any instance saw it.
//   - P7: the configuration revision never decreases, an accepted edit keeps its
//     revision, and without failures all live instances that are not leaving have the
//     stored one within maxPropagationTime.
package soak
