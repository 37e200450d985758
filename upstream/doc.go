// Package upstream sends requests to endpoints over persistent HTTP/1.1
// connections.
//
// A connection carries one request at a time. Bytes that arrive on an idle
// connection belong to no request, so a connection with unread bytes is closed
// instead of reused. The package never retries an exchange: after ErrNotSent
// nothing reached the endpoint, after any other error the request may have run.
package upstream
