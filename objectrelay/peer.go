package objectrelay

import (
	"context"
	"fmt"
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

// Path precedes the kind in the path of a read.
const Path = "/objects/"

const (
	versionField = "version"
	waitField    = "wait_ms"
)

// Peers reads the copies of other instances over HTTP. It is safe for concurrent use.
type Peers struct {
	timeout time.Duration
	mu      sync.Mutex
	clients map[string]*httpcall.Client
}

// NewPeers returns Peers whose reads take at most timeout, waits included.
func NewPeers(timeout time.Duration) *Peers {
	return &Peers{timeout: timeout, clients: make(map[string]*httpcall.Client)}
}

// Ask is an Asker.
func (p *Peers) Ask(ctx context.Context, address string, request objectapi.Request) (objectapi.Reply, error) {
	response, err := p.client(address).Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Path: path(request)})
	if err != nil {
		return objectapi.Reply{}, oops.With("step", "read relay", "peer", address).Wrap(err)
	}
	reply, err := decode(response, request.Kind)
	if len(reply.Events) == 0 {
		reply.Waited = request.Wait
	}
	return reply, oops.With("step", "read relay", "peer", address).Wrap(err)
}

func path(request objectapi.Request) string {
	base := Path + url.PathEscape(string(request.Kind))
	if request.Op != objectapi.OpWatch {
		return base
	}
	return fmt.Sprintf("%s?%s=%d&%s=%d", base, versionField, request.From, waitField, request.Wait.Milliseconds())
}

func (p *Peers) client(address string) *httpcall.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		client = httpcall.New(httpcall.Config{Address: address, Timeout: p.timeout})
		p.clients[address] = client
	}
	return client
}

func decode(response httpcall.Response, kind objectapi.Kind) (objectapi.Reply, error) {
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
	return replyOf(&message, kind), nil
}

// Serve answers a read of one of the copies, by kind.
func Serve(rc *fasthttp.RequestCtx, copies map[objectapi.Kind]*Copy) {
	request, err := parse(rc)
	copied := copies[request.Kind]
	if err != nil || copied == nil {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply, err := copied.Do(rc, request)
	if err != nil {
		rc.SetStatusCode(statusOf(err))
		return
	}
	body, err := proto.Marshal(messageOf(reply))
	if err != nil {
		rc.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	rc.Response.SetBodyRaw(body)
}

func parse(rc *fasthttp.RequestCtx) (objectapi.Request, error) {
	request := objectapi.Request{Op: objectapi.OpList, Kind: objectapi.Kind(rc.Path()[len(Path):])}
	query := rc.QueryArgs()
	if !query.Has(versionField) {
		return request, nil
	}
	request.Op = objectapi.OpWatch
	from, err := strconv.ParseUint(string(query.Peek(versionField)), 10, 64)
	if err != nil {
		return request, err
	}
	wait, err := query.GetUint(waitField)
	request.From, request.Wait = objectapi.Version(from), time.Duration(wait)*time.Millisecond
	return request, err
}
