package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// channel is one connection of a client to an entry instance.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// key is the client's API key.
	key string
}

// dialLimit is how long clients allow for a new channel.
const dialLimit = time.Second

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, dialLimit)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReaderSize(conn, 1024), key: apiKey}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// answer is what a client got for a request.
type answer struct {
	status int
	id     string
	signed bool
	body   string
	// complete is set if the whole answer was received.
	complete bool
	// retryAfter is when the client may send again.
	retryAfter time.Duration
	// closing is set if the channel cannot be used again.
	closing bool
	err     error
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// send sends a POST request and reads the answer. limit is the client's time limit.
func (c *channel) send(path, id string, limit time.Duration, extra string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	_, err := fmt.Fprintf(c.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nRequest-Id: %s\r\n"+
		"Deadline-Remaining: %d\r\n%sContent-Length: 0\r\n\r\n", path, host, c.key, id, limit.Milliseconds(), extra)
	if err != nil {
		return answer{closing: true, err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{closing: true, err: err}
	}
	body, err := io.ReadAll(response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // absent in most answers
	return answer{
		retryAfter: time.Duration(seconds * float64(time.Second)),
		status:     response.StatusCode, id: response.Header.Get("Request-Id"), signed: response.Header.Get("Response-Signature") != "",
		body: string(body), complete: err == nil, closing: err != nil || response.Close, err: err,
	}
}

// promptHeader is the header of a request to a model server. Each session has a subject and a part of its own.
func promptHeader(session string) string {
	return "Model: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,9" + session + ":410," + session + ":250\r\n"
}
