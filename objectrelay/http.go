package objectrelay

import (
	"context"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/internal/httpcall"
	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// PathPrefix is the prefix of the path of a read. The kind of the objects follows it.
const PathPrefix = "/objects/"

// MaxReplyBytes bounds an answer of a relay.
const MaxReplyBytes = 4 << 20

// Query parameters. A list has none but the era that the reader knows.
const (
	eraParam     = "era"
	versionParam = "version"
	waitParam    = "wait_ms"
)

// maxAgeMs is the largest age that a time.Duration can hold, in milliseconds.
const maxAgeMs = math.MaxInt64 / int64(time.Millisecond)

// Client reads the copies of other instances over HTTP. It is safe for concurrent use.
type Client struct {
	timeout     time.Duration
	mu          sync.Mutex
	httpClients map[string]*httpcall.Client
}

// NewClient returns a Client whose reads take at most timeout, including the wait of a watch.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, httpClients: make(map[string]*httpcall.Client)}
}

// Read sends a read to the relay at an address. It is a ReadFunc.
func (c *Client) Read(ctx context.Context, address string, request objectapi.Request) (objectapi.Reply, error) {
	response, err := c.httpClient(address).Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Path: requestPath(request)})
	if err != nil {
		return objectapi.Reply{}, oops.With("step", "read relay", "peer", address).Wrap(err)
	}
	reply, err := decodeResponse(response, request.Kind)
	if len(reply.Events) == 0 {
		reply.Waited = request.Wait
	}
	return reply, oops.With("step", "read relay", "peer", address).Wrap(err)
}

// requestPath returns the path and query of a read.
func requestPath(request objectapi.Request) string {
	path := fmt.Sprintf("%s%s?%s=%d", PathPrefix, url.PathEscape(string(request.Kind)), eraParam, request.From.Era)
	if request.Op != objectapi.OpWatch {
		return path
	}
	return fmt.Sprintf("%s&%s=%d&%s=%d", path, versionParam, request.From.Version, waitParam, request.Wait.Milliseconds())
}

// httpClient returns the HTTP client of an address, which is created on first use.
func (c *Client) httpClient(address string) *httpcall.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.httpClients[address]
	if client == nil {
		client = httpcall.New(httpcall.Config{Address: address, Timeout: c.timeout, MaxResponseBytes: MaxReplyBytes})
		c.httpClients[address] = client
	}
	return client
}

// decodeResponse returns the reply of an HTTP response, or ErrCompacted or ErrUnavailable by its status.
func decodeResponse(response httpcall.Response, kind objectapi.Kind) (objectapi.Reply, error) {
	switch response.Status {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		return objectapi.Reply{}, objectapi.ErrCompacted
	default:
		return objectapi.Reply{}, fmt.Errorf("%w: status %d", objectapi.ErrUnavailable, response.Status)
	}
	var message wire.RelayedObjects
	if err := proto.Unmarshal(response.Body, &message); err != nil {
		return objectapi.Reply{}, fmt.Errorf("%w: %w", objectapi.ErrUnavailable, err)
	}
	// They are the last fields, so that a message that was cut lacks one of them.
	if message.Version == 0 || message.AgeMs <= 0 || message.AgeMs > maxAgeMs {
		return objectapi.Reply{}, fmt.Errorf("%w: answer without a version or a valid age", objectapi.ErrUnavailable)
	}
	return decodeReply(&message, kind), nil
}

// Serve answers a read of another instance from the copy of the requested kind.
func Serve(rc *fasthttp.RequestCtx, copies map[objectapi.Kind]*Copy) {
	request, err := parseRequest(rc)
	objectCopy := copies[request.Kind]
	if err != nil || objectCopy == nil {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply, err := objectCopy.read(rc, request)
	if err != nil {
		rc.SetStatusCode(statusCode(err))
		return
	}
	body, length, err := reply.body()
	if err != nil {
		rc.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	rc.SetBodyStream(body, length)
}

// parseRequest decodes the path and query of a read. A reader that sends no era knows none.
func parseRequest(rc *fasthttp.RequestCtx) (objectapi.Request, error) {
	request := objectapi.Request{Op: objectapi.OpList, Kind: objectapi.Kind(rc.Path()[len(PathPrefix):])}
	query := rc.QueryArgs()
	if query.Has(eraParam) {
		era, err := strconv.ParseUint(string(query.Peek(eraParam)), 10, 64)
		if err != nil {
			return request, err
		}
		request.From.Era = objectapi.Era(era)
	}
	if !query.Has(versionParam) {
		return request, nil
	}
	request.Op = objectapi.OpWatch
	from, err := strconv.ParseUint(string(query.Peek(versionParam)), 10, 64)
	if err != nil {
		return request, err
	}
	wait, err := query.GetUint(waitParam)
	request.From.Version, request.Wait = objectapi.Version(from), time.Duration(wait)*time.Millisecond
	return request, err
}
