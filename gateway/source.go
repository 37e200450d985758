package gateway

import "knapweedhoist/request"

// source gives the events of a request to one reader. request.Subscription
// implements it for local requests, remoteSource for others.
type source interface {
	// Next appends available events to buffer, up to its capacity. The error is
	// io.EOF after the last one.
	Next(buffer []request.Event) ([]request.Event, error)
	// Ready receives when Next may have something new.
	Ready() <-chan struct{}
	Close()
}
