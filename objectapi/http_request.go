package objectapi

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"knapweedhoist/internal/httpcall"
)

// MaxNameBytes bounds an object's name.
const MaxNameBytes = 512

// Validate reports a malformed request as an error that wraps ErrInvalid.
func (r Request) Validate() error {
	switch {
	case r.Op < OpGet || r.Op > OpWatch:
		return fmt.Errorf("%w: operation %d", ErrInvalid, r.Op)
	case r.Kind == "" || len(r.Kind) > MaxNameBytes:
		return fmt.Errorf("%w: kind of %d bytes", ErrInvalid, len(r.Kind))
	case len(r.Name) > MaxNameBytes || r.Name == "" && r.Op <= OpDelete:
		return fmt.Errorf("%w: name of %d bytes", ErrInvalid, len(r.Name))
	case len(r.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of %d bytes, at most %d", ErrInvalid, len(r.Value), MaxValueBytes)
	case r.Condition.IfAbsent && (r.Op == OpDelete || r.Condition.IfVersion != 0):
		return fmt.Errorf("%w: condition", ErrInvalid)
	default:
		return nil
	}
}

// httpRequest returns r as a call of the HTTP interface.
func (r Request) httpRequest() (httpcall.Request, error) {
	if err := r.Validate(); err != nil {
		return httpcall.Request{}, err
	}
	switch r.Op {
	case OpPut:
		body, err := json.Marshal(PutBody{Value: r.Value})
		return httpcall.Request{Method: fasthttp.MethodPut, Path: r.objectPath(), Header: r.Condition.fields(), Body: body}, err
	case OpDelete:
		return httpcall.Request{Method: fasthttp.MethodDelete, Path: r.objectPath(), Header: r.Condition.fields()}, nil
	case OpList:
		return httpcall.Request{Method: fasthttp.MethodGet, Path: r.listPath()}, nil
	case OpWatch:
		return httpcall.Request{Method: fasthttp.MethodGet, Path: r.watchPath()}, nil
	default:
		return httpcall.Request{Method: fasthttp.MethodGet, Path: r.objectPath()}, nil
	}
}

func (r Request) objectPath() string {
	return "/v1/objects/" + url.PathEscape(string(r.Kind)) + "/" + url.PathEscape(r.Name)
}

func (r Request) listPath() string {
	query := url.Values{"prefix": {r.Name}, "after": {r.After}, "limit": {strconv.Itoa(r.Limit)}}
	return "/v1/objects/" + url.PathEscape(string(r.Kind)) + "?" + query.Encode()
}

func (r Request) watchPath() string {
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(r.From), 10)},
		"wait_ms": {strconv.FormatInt(r.Wait.Milliseconds(), 10)},
	}
	return "/v1/watch/" + url.PathEscape(string(r.Kind)) + "?" + query.Encode()
}

func (c Condition) fields() []httpcall.Field {
	switch {
	case c.IfAbsent:
		return []httpcall.Field{{Name: fasthttp.HeaderIfNoneMatch, Value: "*"}}
	case c.IfVersion != 0:
		tag := strconv.Quote(strconv.FormatUint(uint64(c.IfVersion), 10))
		return []httpcall.Field{{Name: fasthttp.HeaderIfMatch, Value: tag}}
	default:
		return nil
	}
}
