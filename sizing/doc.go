// Package sizing decides how many endpoints of each kind a service has in each
// data centre.
//
// Reclaimable endpoints carry the work, since they cost a fraction; a few
// on-demand endpoints carry on while they are gone. All reclaimable endpoints of
// a data centre can be taken away at once, with less notice than a new endpoint
// needs to start, and for a while none may be had anywhere: they are spread
// evenly over the data centres, and what is missing is ordered on demand until
// they are back.
//
// Load pattern: reclaims of several data centres within seconds, while demand
// swings with the time of day.
//
// The package has no clock and makes no calls.
package sizing
