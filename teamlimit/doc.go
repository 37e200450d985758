// Package teamlimit keeps the teams' limits over all entry instances together,
// without asking anyone before a request.
//
// Every instance keeps one token bucket for each team that stands for the whole
// deployment: it is filled at the team's rate and drained by the instance's own
// requests and by the use that the other instances report several times a
// second. What two instances admit at once before they hear of each other goes
// below zero and is paid back first, so that the bound over any window is the
// rate, the burst and one report interval of demand.
//
// An instance that hears only some of the others may use only their share of the
// rate and of the burst. Both sides of a partition apply the same rule, so the
// shares add up to at most the limit. A process that has just started has an
// empty bucket until another instance tells it the level.
//
// Load pattern: a team sends many times its limit through all instances while
// some of them are cut off, frozen or restarted; the other teams must not notice.
//
// The package has no sockets or clock. Limiter is safe for concurrent use.
package teamlimit
