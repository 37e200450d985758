// Package forward serves the routes of a platform: it takes a caller's request,
// finds its route and team, admits it within the team's limit, offers it to an
// endpoint and passes the answer on.
//
// A request is read whole before anything is decided, and answered by exactly one
// of: the endpoint's answer, a refusal (429 or 503) that tells that it has not
// run and never will, or a failure (502 or 504) that tells nothing. What may be
// sent again follows from the kind of the route alone.
package forward
