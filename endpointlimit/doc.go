// Package endpointlimit keeps the rate limits that endpoints state in their answers, and divides them among the entry
// instances. A limit is the number of requests a second that an endpoint takes from all instances together.
//
// Load pattern: an endpoint in need names a limit of a few requests a second while hundreds of instances each send it a
// request now and then. Each of them alone stays below the limit, and their sum is many times as high.
//
// Time is divided into turns, of which the limit allows so many a second. The turns go to the instances in a fixed order, and an
// instance may send one request in each of its own. Every instance computes its turns from the limit, the list of
// instances and the time of day that all estimate, so that the sum stays within the limit without any message: also while instances
// are cut off, restart, or learn late that the demand has risen. An unused turn lapses after a while.
//
// Statements travel in the reports between instances, so that an instance obeys a limit that only others were told. Of two
// statements of the same process the newer one counts, whether it names a limit or ends one; of two of the same age the
// stricter one.
//
// The package does no network I/O and reads no clock. Limits is safe for concurrent use.
package endpointlimit
