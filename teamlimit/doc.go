// Package teamlimit enforces the rate limits of teams over all entry instances
// together, without a remote call on the request path.
//
// Every instance keeps one token bucket for each team; the bucket represents the
// whole deployment. It is refilled at the team's full rate, raised by a part of
// Config.Overage, and drained by the instance's own requests and by the use of the
// other instances, which package fleetstate delivers several times a second.
//
// Between two deliveries every instance could take the whole level of the bucket.
// While the demand for a team at all instances is higher than its bucket can serve,
// each instance therefore admits only the part of its own requests that the limit is
// of the demand. That part depends neither on the number of instances nor on how the
// demand is spread over them. The level corrects it: use beyond the limit lowers it
// until the overdraft is repaid. Requests that cost little are admitted more often
// than those that cost much.
//
// An instance that is connected to only some of the others uses only its own and
// their joint share of the rate. Both sides of a partition apply the same rule, so
// the shares add up to at most the limit. A process that has just started in an
// existing deployment, or that was paused, takes over the levels of other instances
// for a while, since it does not know the earlier use.
//
// Load pattern: a team sends many times its limit through all instances while
// some of them are partitioned, paused or restarted; other teams must see no effect.
//
// The package does no network I/O and reads no clock. Limiter is safe for concurrent use.
package teamlimit
