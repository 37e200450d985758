// Package endpointlimit keeps the rate limits that endpoints state in their answers. A limit is the number of requests a
// second that an endpoint takes from all entry instances together.
//
// The package does no network I/O and reads no clock. Limits is safe for concurrent use.
package endpointlimit
