// Package rawserver provides an HTTP server for tests whose answers are cut at any byte or invalid.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Server sends the same bytes in answer to each request and closes the connection.
type Server struct {
	listener net.Listener
	answer   atomic.Pointer[answer]
}

// answer describes what a Server does with each request.
type answer struct {
	raw string
	// reset ends the connection by a reset instead of a FIN.
	reset bool
	// early sends raw without reading the body of the request. The connection ends after pause.
	early bool
	// drain reads what has arrived of the body, but not all of it, before the connection ends.
	drain bool
	pause time.Duration
}

// New starts a Server on a free loopback port.
func New() (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener}
	s.Answer("", false)
	go s.accept()
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener.
func (s *Server) Close() { _ = s.listener.Close() }

// Answer sets the bytes that the server sends from now on, and whether it then resets the connection instead of sending a FIN.
func (s *Server) Answer(raw string, reset bool) {
	s.answer.Store(&answer{raw: raw, reset: reset})
}

// AnswerEarly makes the server send raw from now on as soon as the header section of a request has arrived, read no body and reset
// the connection after pause.
func (s *Server) AnswerEarly(raw string, pause time.Duration) {
	s.answer.Store(&answer{raw: raw, reset: true, early: true, pause: pause})
}

// CloseEarly is as AnswerEarly, but the server closes the connection after it has read what has arrived. It reads at most
// half of the body. If it has read all that had arrived, the kernel sends a FIN, and a reset for the bytes that arrive later.
func (s *Server) CloseEarly(raw string, pause time.Duration) {
	s.answer.Store(&answer{raw: raw, early: true, drain: true, pause: pause})
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	answer := s.answer.Load()
	if !answer.early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, answer.raw)
	time.Sleep(answer.pause)
	if answer.drain {
		drain(conn, request.ContentLength/2)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && answer.reset {
		_ = tcp.SetLinger(0)
	}
}

// drain reads what has arrived, in a bounded number of reads and at most limit bytes.
func drain(conn net.Conn, limit int64) {
	const (
		idle     = time.Millisecond
		maxReads = 96
	)
	reader, buffer := io.LimitReader(conn, limit), make([]byte, 64<<10)
	for range maxReads {
		_ = conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := reader.Read(buffer); err != nil {
			return
		}
	}
}

// Cut is an answer that is cut at one of its bytes.
type Cut struct {
	// Whole is set if all bytes of the answer were sent, and then a FIN.
	Whole bool
	// Unframed is set if the answer has neither a length nor chunks.
	Unframed bool
	// Text describes the cut for the message of a failed check.
	Text string
}

// ForEachCut calls check for an answer with a length, with chunks and with neither, each cut at every byte and ended by a FIN and
// by a reset.
func (s *Server) ForEachCut(status, body string, check func(Cut)) {
	head := "HTTP/1.1 " + status + "\r\nConnection: close\r\n"
	for _, raw := range []string{
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(body, 30),
		head + "\r\n" + body,
	} {
		unframed := raw == head+"\r\n"+body
		for _, reset := range []bool{false, true} {
			for n := range len(raw) + 1 {
				if reset && n == len(raw) && !unframed {
					continue // the reset may overtake the answer
				}
				s.Answer(raw[:n], reset)
				check(Cut{
					Whole: n == len(raw) && !reset, Unframed: unframed,
					Text: fmt.Sprintf("%d of %d bytes, reset %t: %q", n, len(raw), reset, raw[:n]),
				})
			}
		}
	}
}

// Chunked returns text in chunks of size bytes, with an extension and a trailer.
func Chunked(text string, size int) string {
	var framed strings.Builder
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&framed, "%x;a=b\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return framed.String() + "0\r\nX-Trailer: 1\r\n\r\n"
}
