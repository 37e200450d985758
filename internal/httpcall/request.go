package httpcall

import "github.com/valyala/fasthttp"

// Request is one HTTP call.
type Request struct {
	Method string
	// Path is the escaped path, including the query.
	Path   string
	Header []Field
	// Body is sent as application/json unless Header has a Content-Type.
	Body []byte
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// fill copies r to request, addressed to the server of cfg. Path normalisation
// is off, since object names can contain escaped slashes.
func (r Request) fill(request *fasthttp.Request, cfg Config) {
	request.Header.SetMethod(r.Method)
	request.SetRequestURI("http://" + cfg.Address + r.Path)
	request.URI().DisablePathNormalizing = true
	if cfg.Token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+cfg.Token)
	}
	for _, field := range r.Header {
		request.Header.Add(field.Name, field.Value)
	}
	if len(r.Body) == 0 {
		return
	}
	if len(request.Header.ContentType()) == 0 {
		request.Header.SetContentType("application/json")
	}
	request.SetBodyRaw(r.Body)
}
