// Package httpconn rejects responses of HTTP/1 servers that fasthttp takes for sound ones.
package httpconn
