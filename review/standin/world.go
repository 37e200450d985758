package main

import (
	"fmt"
	"os"
	"time"
)

// world is one run: the platform, the servers and the processes of the system.
type world struct {
	rec      *recorder
	dir      string
	trouble  bool
	store    *store
	cloud    *cloud
	nodes    []*node
	backends []*backend
	broken   int
	// retrySlack is a bound in the settings that a case may change.
	retrySlack int
}

func newWorld(rec *recorder) (*world, error) {
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0", retrySlack: 54}
	var err error
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.store, err = startStore(rec); err != nil {
		return nil, err
	}
	w.cloud, err = startCloud(rec)
	return w, err
}

// close ends everything that the run started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		if n.log != nil {
			_ = n.log.Close()
		}
	}
	for _, b := range w.backends {
		b.exit()
	}
	w.store.stop()
	w.cloud.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// startNodes starts one process in each zone that is named, and waits until all are ready.
func (w *world) startNodes(zones ...string) error {
	for i, zone := range zones {
		n, err := w.newNode(i+1, zone)
		if err != nil {
			return err
		}
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

// violation records that the rule was broken.
func (w *world) violation(format string, args ...any) {
	w.broken++
	w.rec.line("BROKEN: "+format, args...)
	if w.broken <= 5 {
		fmt.Printf("BROKEN: "+format+"\n", args...)
	}
}

// route returns a route of the config.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": testHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 800, "TargetLatencyMs": 100,
		"Priority": 2, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "CanResume": false,
	}
}

// configOf returns a config with one tenant without a limit, whose key is testKey.
func configOf(version int, routes, services []any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []any{testKey}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200}},
	}
}

// testHost is the host of all routes, testKey the API key of the tenant.
const (
	testHost = "ficu95.example"
	testKey  = "i9n73hh2b9wu3fexd9dn"
)
