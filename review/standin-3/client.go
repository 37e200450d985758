package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status int
	body   string
	header http.Header
	// err is why the answer is not complete, nil if it is.
	err error
}

// request is one attempt of a client.
type request struct {
	method, path, id, key string
	limit                 time.Duration
	// fields holds further header lines, each with its line end.
	fields, body string
}

func (q request) text() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.method, q.path, host, q.key, q.id, q.limit.Milliseconds(), q.fields, len(q.body), q.body)
}

// send makes one attempt on a new channel and closes it at the client's time limit.
func send(address string, q request) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.limit))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return answer{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}
