// Package quarantine finds parts of prompts that crash the endpoints which answer
// requests with them, and refuses further requests with such a part.
//
// Load pattern: a few requests with a common part arrive at all instances, each of
// them crashes the endpoint that begins to answer it, and repeats carry the part to
// the next endpoint. Sound requests share the other parts, the team and the route,
// and are in progress at the same endpoints when these crash.
//
// Each instance notes which parts were in progress without an answer when an
// endpoint crashed, and which parts were answered. Instances exchange these notes. A
// part is held responsible if it was in progress at several crashes and was not
// answered since the first of them. Where several parts explain the same crashes, the
// one that was never answered is chosen, and these crashes no longer count for the
// others. A quarantined part is tried again with a single request after a time that
// doubles with each failure.
//
// The package does no network I/O and reads no clock. Guard is safe for concurrent use.
package quarantine
