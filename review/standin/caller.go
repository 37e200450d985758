package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// caller is a client with one connection at a time to one process.
type caller struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    int
}

// call is a request of a caller.
type call struct {
	id, method, host, path, key string
	headers                     map[string]string
	body                        []byte
	timeout                     time.Duration
}

// answer is what a caller got.
type answer struct {
	sentAt, headAt, endedAt time.Time
	status                  int
	header                  http.Header
	body                    []byte
	// complete reports whether the body was whole. err is why it is not, or why there is no answer.
	complete bool
	err      error
	// kept reports whether the request was sent on a connection that had carried another one.
	kept bool
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	if !a.complete {
		return fmt.Sprintf("%d, body of %d bytes broken off (%v)", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, whole body of %d bytes", a.status, len(a.body))
}

var nextRequest atomic.Int64

// newID returns an id that no other request of the run has.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+nextRequest.Add(1)) }

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send connects if necessary and sends a request.
func (c *caller) send(r call) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), 0
	}
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(r.timeout + 5*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\n",
		r.method, r.path, r.host, r.id, r.timeout.Milliseconds())
	if r.key != "" {
		head += "Authorization: Token " + r.key + "\r\n"
	}
	for name, value := range r.headers {
		head += name + ": " + value + "\r\n"
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	_, err := c.conn.Write(append([]byte(head+"\r\n"), r.body...))
	return err
}

// do sends a request and reads the answer. It keeps the connection if the answer allows it.
func (c *caller) do(r call) answer {
	a := answer{sentAt: time.Now()}
	a.kept = c.conn != nil
	if a.err = c.send(r); a.err != nil {
		a.endedAt = time.Now()
		c.close()
		return a
	}
	c.read(&a)
	return a
}

func (c *caller) read(a *answer) {
	defer func() { a.endedAt = time.Now() }()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.err = err
		c.close()
		return
	}
	a.headAt, a.status, a.header = time.Now(), response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.complete = a.err == nil
	if !a.complete || response.Close {
		c.close()
	}
}
