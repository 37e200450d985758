package devtool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// console is an HTTP address for causing failures in a running sample
// deployment. It has no credentials; it is for loopback addresses.
type console struct {
	deployment *deployment
	server     *http.Server
	address    string
}

// startConsole listens on address; "" starts nothing and returns nil.
func startConsole(d *deployment, address string) (*console, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &console{deployment: d, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", c.fault)
	mux.HandleFunc("POST /reclaim", c.reclaim)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// close stops a console; it may be nil.
func (c *console) close() {
	if c != nil {
		_ = c.server.Shutdown(context.Background())
	}
}

// fault puts a scripted fault into force, for a time or a number of calls.
func (c *console) fault(w http.ResponseWriter, r *http.Request) {
	query, err := parseFaultQuery(r.URL.Query())
	if err == nil {
		err = c.deployment.cause(query)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintln(w, query)
}

// reclaim gives notice to endpoints, by id or by data centre.
func (c *console) reclaim(w http.ResponseWriter, r *http.Request) {
	id, datacentre := r.URL.Query().Get("id"), r.URL.Query().Get("datacentre")
	if id == "" && datacentre == "" {
		http.Error(w, "id or datacentre is required", http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%d instances got notice: %s\n", c.deployment.reclaim(id, datacentre), sampleNotice)
}
