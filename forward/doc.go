// Package forward is the HTTP reverse proxy for the routes of a platform. For
// each request it finds the route and the team, charges the team's limit, sends
// the request to an endpoint and passes the answer on to the caller. Package
// entry runs its Server.
//
// A request is read completely before it is routed. It gets exactly one of: the
// endpoint's answer; a refusal, such as 429 or 503, which guarantees that the
// request has not run and will not run; or a failure (502 or 504), after which it
// is unknown whether the request ran. A request that may have run is sent again
// only if its route allows it.
package forward
