// Package fleetstate merges the state that entry instances report into a view of
// the whole deployment. It decides who reports to whom and what a merged report
// contains; package gossip encodes and sends the reports.
//
// Load pattern: hundreds of instances share the limits of teams, the load of
// endpoints and the usage counts. If each instance sent its report to all others,
// the datagrams of the deployment would grow with the square of its size.
//
// Every instance sends a Report to two aggregators of its data centre. An
// aggregator adds up the reports and sends a Summary of its data centre to the
// aggregators of the other data centres, and a Digest of the whole deployment to
// the members of its own. An instance acts as aggregator while others report to it,
// so that no election is needed: members choose aggregators by rank among those
// that answer.
//
// Use and usage are counted by slots of time in grow-only counters. A sum of
// counters that misses some reports is lower than the true sum, and no report
// counts twice in it. Sums of several aggregators are therefore merged by their
// maximum, whatever was lost, repeated, reordered or paused on the way. Load and
// rates are replaced by the newest report instead.
//
// The package does no network I/O and reads no clock. Fleet is safe for
// concurrent use.
package fleetstate
