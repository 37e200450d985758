// Package quarantine finds requests, and parts of prompts, that crash the endpoints
// which answer them, and refuses further requests of the kind.
//
// Load pattern: one request, or a few with a common part, arrive at all instances,
// each attempt crashes the endpoint that begins to answer it, and repeats carry it to
// the next endpoint. Sound requests share their other parts, the team and the route,
// and are in progress at the same endpoints when these crash.
//
// Each instance notes which keys (see Key) were in progress without an answer when an
// endpoint crashed, and which were answered. Instances exchange these notes. A
// key is held responsible if it was in progress at several crashes and was not
// answered since the first of them. Where several keys explain the same crashes, the
// one that was never answered is chosen, and of these the narrowest. The crashes no
// longer count for the others, unless it is answered later. A quarantined key is tried
// again with a single request after a time that doubles with each failure.
//
// The package does no network I/O and reads no clock. Guard is safe for concurrent use.
package quarantine
