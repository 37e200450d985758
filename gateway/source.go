package gateway

import "knapweedhoist/request"

// source yields the events of a request to one reader. request.Subscription
// implements it for requests of this instance, remoteSource for those of others.
type source interface {
	// Next appends available events to buffer, up to its capacity. The error is
	// io.EOF after the last one.
	Next(buffer []request.Event) ([]request.Event, error)
	// Ready returns a channel that receives when Next may return more events or an error.
	Ready() <-chan struct{}
	// Close releases the resources of the source.
	Close()
}
