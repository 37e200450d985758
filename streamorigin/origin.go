// Package streamorigin remembers which software version began each stream, so that a caller whose stream broke off goes on
// at the version that began it, also at another entry instance or after a restart of all of them.
//
// Load pattern: endpoints of two software versions serve side by side or replace each other while instances are killed or
// connections are reset, and many callers take up their streams at once at instances that did not begin them.
package streamorigin

import "errors"

// Origin is where a stream began: an endpoint of Service whose software has Version.
type Origin struct {
	Service, Version string
}

// ErrUnknown means that it is not known which of several software versions began a stream.
var ErrUnknown = errors.New("stream origin: software version that began the stream is unknown")
