// Package teamlimit enforces the rate limits of teams over all entry instances
// together, without a remote call on the request path.
//
// Every instance keeps one token bucket for each team; the bucket represents the
// whole deployment. It is refilled at the team's full rate, raised by a part of
// Config.Overage, and drained by the instance's own requests and by the use that
// the other instances report several times a second. Requests that two instances
// admit at the same time, before either receives the other's report, overdraw the
// bucket, and the overdraft is repaid first. Use in any window is therefore
// bounded by the refill, the capacity of the bucket and the demand of one report
// interval.
//
// An instance that receives reports from only some of the others uses only its
// own and their joint share of the rate and of the burst. Both sides of a
// partition apply the same rule, so the shares add up to at most the limit. A
// process that has just started in an existing deployment begins with a part of
// Config.Slack instead of the burst, until another instance reports the level.
//
// Load pattern: a team sends many times its limit through all instances while
// some of them are partitioned, paused or restarted; other teams must see no effect.
//
// The package does no network I/O and reads no clock. Limiter is safe for concurrent use.
package teamlimit
