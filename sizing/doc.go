// Package sizing plans how many endpoints of each kind a service needs in each
// data centre. Package entry measures the demand at each instance and plans at
// the instance that runs the duties.
//
// Reclaimable endpoints carry the load, since they cost a fraction of an
// on-demand endpoint; a few on-demand endpoints carry the most urgent work while
// reclaimable ones are missing. All reclaimable endpoints of a data centre can be
// reclaimed at once, with less notice than a new endpoint needs to start, and for
// a while none may be available in any data centre. They are therefore spread
// evenly over the data centres, and on-demand endpoints replace as many of the
// missing ones as Config.DegradedLoad requires until reclaimable ones are
// available again.
//
// Load pattern: reclaims in several data centres within seconds, while demand
// changes with the time of day.
//
// The package reads no clock and makes no calls.
package sizing
