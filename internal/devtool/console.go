package devtool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// console is an HTTP server that injects faults into a running sample deployment
// and reclaims its endpoints. It has no authentication and must listen on loopback
// addresses only.
type console struct {
	deployment *deployment
	server     *http.Server
	address    string
}

// startConsole starts a console on address. It returns nil if address is empty.
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
	mux.HandleFunc("POST /fault", c.handleFault)
	mux.HandleFunc("POST /reclaim", c.handleReclaim)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// close shuts the server down. A nil console is allowed.
func (c *console) close() {
	if c != nil {
		_ = c.server.Shutdown(context.Background())
	}
}

// handleFault injects a scripted fault that ends after a duration or a number of calls, whichever comes first.
func (c *console) handleFault(w http.ResponseWriter, r *http.Request) {
	query, err := parseFaultQuery(r.URL.Query())
	if err == nil {
		err = c.deployment.injectFault(query)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintln(w, query)
}

// handleReclaim sends a reclaim notice to the endpoint with an id, or to each endpoint in a data centre. Endpoints that are
// not reclaimable or already have a notice get none.
func (c *console) handleReclaim(w http.ResponseWriter, r *http.Request) {
	id, datacentre := r.URL.Query().Get("id"), r.URL.Query().Get("datacentre")
	if id == "" && datacentre == "" {
		http.Error(w, "id or datacentre is required", http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%d instances received a reclaim notice: %s\n", c.deployment.reclaim(id, datacentre), sampleNotice)
}
