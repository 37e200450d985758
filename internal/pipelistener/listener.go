// Package pipelistener is a listener for tests that measure memory: its connections are pipes, which hold no bytes that the other
// end has not read.
package pipelistener

import "net"

// Listener accepts the server ends of the pipes that Dial makes.
type Listener struct{ accepted chan net.Conn }

// New returns a Listener.
func New() *Listener { return &Listener{make(chan net.Conn)} }

// Dial returns the client end of a new pipe, once a server has accepted the other end.
func (l *Listener) Dial() net.Conn {
	client, server := net.Pipe()
	l.accepted <- server
	return client
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if conn, ok := <-l.accepted; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener. Dial must not be called afterwards.
func (l *Listener) Close() error {
	close(l.accepted)
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
