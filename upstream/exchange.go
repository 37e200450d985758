package upstream

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Request is one request for an endpoint.
type Request struct {
	Peer   Peer
	Header *fasthttp.RequestHeader
	Body   []byte
	// ID is the request's id; an answer that carries another one belongs to another request.
	ID string
	// AnswerID returns the id that an answer carries, or "".
	AnswerID func(*fasthttp.ResponseHeader) string
	// Deadline ends the exchange.
	Deadline time.Time
	// IdleLimit is the number of idle connections to the endpoint that are kept, see IdleLimit.
	IdleLimit int
}

// maxStrayAnswers bounds the answers of other requests that are skipped on one connection.
const maxStrayAnswers = 3

// writeGrace is how long an endpoint that has answered may take to read the rest of the body before the
// connection is given up.
const writeGrace = 100 * time.Millisecond

// Do sends a request and returns the head of its answer. The caller closes the
// answer. The end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, request Request) (*Answer, error) {
	c, err := p.acquire(ctx, request.Peer)
	if err != nil {
		return nil, err
	}
	answer := &Answer{pool: p, peer: request.Peer, idleLimit: request.IdleLimit, conn: c, written: make(chan error, 1)}
	answer.unhook = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(request.Deadline)
	go func() { answer.written <- writeRequest(c, request) }()
	if err := answer.readHead(request); err != nil {
		answer.Abort()
		return nil, oops.With("step", "exchange with endpoint", "peer", request.Peer.Address).
			Wrap(errors.Join(ErrBroken, err))
	}
	return answer, nil
}

func writeRequest(c *conn, request Request) error {
	if err := request.Header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.Write(request.Body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads up to the head of the request's own answer.
func (a *Answer) readHead(request Request) error {
	for range maxStrayAnswers + 1 {
		if err := a.Header.Read(a.conn.reader); err != nil {
			return err
		}
		if status := a.Header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		a.frame(request.Header.IsHead())
		if request.AnswerID(&a.Header) == request.ID || request.ID == "" {
			return nil
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return err
		}
	}
	return errors.New("only answers of other requests")
}
