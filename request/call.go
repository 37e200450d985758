package request

// Call is an HTTP call to a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is the escaped path below the service, starting with "/".
	Path string `json:"path"`
	// Query is the raw query string without "?".
	Query  string  `json:"query,omitempty"`
	Header []Field `json:"header,omitempty"`
	Body   []byte  `json:"body,omitempty"`
}

// Field is one header field.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}
