package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"knapweedhoist/platform/platformtest"
)

// Names in the configuration of a deployment.
const (
	host         = "desk.example"
	apiKey       = "key-1"
	zone         = "kol-a"
	plainService = "dispatch-desk"
	modelService = "scribe-pool"
	lookupPath   = "/status/"   // safe
	dispatchPath = "/dispatch/" // unsafe
	draftPath    = "/draft/"    // stream that may be resumed
	summaryPath  = "/summary/"  // stream that may not be resumed
)

// deployment is a small deployment: the platform's stand-ins, servers and entry instances.
type deployment struct {
	rec     *record
	program string
	trouble bool
	dir     string
	store   *platformtest.Store
	cloud   *platformtest.Cloud
	version int
	// idleRoutes is the number of further routes in the configuration, which no client uses.
	idleRoutes int
	// noTenants makes the list of tenants in the configuration empty.
	noTenants bool

	mu      sync.Mutex
	nodes   []*node
	servers []*server
}

func newDeployment(rec *record, program string, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, program: program, trouble: trouble, dir: dir}
	if d.store, err = platformtest.NewStore(); err != nil {
		return nil, err
	}
	if d.cloud, err = platformtest.NewCloud(); err != nil {
		return nil, err
	}
	return d, d.configure()
}

// configure writes the next version of the configuration.
func (d *deployment) configure() error {
	d.version += 3
	route := func(path, kind, service string, timeout, aim, attempts int, resume bool) map[string]any {
		r := map[string]any{
			"Name": "r" + path, "Host": host, "PathPrefix": path, "Kind": kind, "Service": service, "TimeoutMs": timeout,
			"TargetLatencyMs": aim, "Priority": 0, "MaxAttempts": attempts, "Public": false,
		}
		if kind == "stream" {
			r["Sticky"], r["CanResume"], r["GapAimMs"] = true, resume, 500
		}
		return r
	}
	service := func(name string, connections int) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1", "Tls": false}
	}
	models := service(modelService, 620)
	models["Engine"] = map[string]any{"Slots": 128, "KvTokens": 846316, "Models": []any{map[string]any{"Name": "m"}}}
	routes := []any{
		route(lookupPath, "safe", plainService, 800, 100, 2, false),
		route(dispatchPath, "unsafe", plainService, 800, 100, 1, false),
		route(draftPath, "stream", modelService, 8000, 800, 2, true),
		route(summaryPath, "stream", modelService, 5000, 1200, 1, false),
	}
	for n := range d.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("/idle-%06d-%06d/", d.version, n), "safe", plainService, 800, 100, 2, false))
	}
	tenants := []any{map[string]any{
		"Name": "team-1", "ApiKeys": []string{apiKey}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200,
		"RatePerS": 315660, "Burst": 315660,
	}}
	if d.noTenants {
		tenants = []any{}
	}
	return d.store.Put("config", "main", map[string]any{
		"Version":  d.version,
		"Routes":   routes,
		"Services": []any{service(plainService, 110), models},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  tenants,
	})
}

// startServers starts n servers of a service and registers them.
func (d *deployment) startServers(service string, n int) error {
	for range n {
		s, err := newServer(d.rec, fmt.Sprintf("i-%s-%d", service, len(d.servers)+1), service)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.servers = append(d.servers, s)
		d.mu.Unlock()
		if err := d.store.Put("servers", s.id, s.entry("ready")); err != nil {
			return err
		}
	}
	return nil
}

// machines is the number of entry instances of a case.
const machines = 2

// settleTime is how long clients wait once the machines are ready; the pages give them 10 s from the start.
const settleTime = 2 * time.Second

// startNodes starts the entry instances, waits until they are ready and then for settleTime.
func (d *deployment) startNodes() error {
	for range machines {
		if _, err := d.startNode(); err != nil {
			return err
		}
	}
	for _, started := range d.nodes {
		if err := started.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (d *deployment) startNode() (*node, error) {
	started, err := startNode(d, fmt.Sprintf("front-%s-%d", zone, len(d.nodes)+1))
	if err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, started)
	return started, nil
}

// close ends all processes that the case started and removes its files.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	for _, s := range d.servers {
		s.close()
	}
	d.cloud.Close()
	_ = d.store.Close()
	_ = os.RemoveAll(d.dir)
}

// broken returns errBroken with the text.
func broken(format string, args ...any) error {
	return errors.Join(errBroken, fmt.Errorf(format, args...))
}
