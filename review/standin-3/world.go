package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"knapweedhoist/platform/platformtest"
	"knapweedhoist/standin"
)

const (
	zone = "zone-a"
	host = "desk.example"
	key  = "key-1"
	// binary is what the build line of deploy/system.toml places.
	binary = "target/knapweedhoist"
	// startLimit bounds the start of an instance.
	startLimit = 20 * time.Second
)

// world is a small deployment.
type world struct {
	rec   *record
	dir   string
	store *platformtest.Store
	cloud *platformtest.Cloud
	nodes []*node
	// version is that of the last configuration written.
	version int
}

// node is an entry instance in a process of its own.
type node struct {
	name, settings       string
	callers, ready, peer string
	command              *exec.Cmd
	log                  *os.File
	ended                chan struct{}
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store := &platformtest.Store{Platform: standin.NewPlatform(slog.New(slog.DiscardHandler), standin.PlatformConfig{
		Latency: 4 * time.Millisecond, ReadsPerSecond: 2000, WritesPerSecond: 400, HTTP: platformtest.ServeObjects,
	})}
	if err := store.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	cloud, err := platformtest.NewCloud()
	if err != nil {
		return nil, err
	}
	return &world{rec: rec, dir: dir, store: store, cloud: cloud}, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() error {
	for _, n := range w.nodes {
		if n.command != nil && n.ended != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
		_ = n.log.Close()
	}
	w.cloud.Close()
	return errors.Join(w.store.Close(), os.RemoveAll(w.dir))
}

// configure writes the next version of the configuration.
func (w *world) configure(config map[string]any) error {
	w.version++
	config["Version"] = w.version
	config["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000}
	if config["Tenants"] == nil {
		config["Tenants"] = []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{key}}}
	}
	w.rec.note("operator writes configuration %d", w.version)
	return w.store.Put("config", "main", config)
}

// register writes the entry of a server.
func (w *world) register(id, service, address string, slots int, fields map[string]any) error {
	entry := map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "1", "Slots": slots, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": 1, "born": time.Now().UnixMilli(),
	}
	for name, value := range fields {
		entry[name] = value
	}
	return w.store.Put("servers", id, entry)
}

// loopback returns a loopback address at which no other process listens, and which is no channel's own end: those have 127.0.0.1.
func loopback() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid)).String()
}

func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		ln, err := net.Listen("tcp4", net.JoinHostPort(loopback(), "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// startNodes starts n entry instances at once and waits until they are ready.
func (w *world) startNodes(n int) error {
	for range n {
		if err := w.addNode(); err != nil {
			return err
		}
	}
	for _, node := range w.nodes {
		if err := node.start(true); err != nil {
			return err
		}
	}
	for _, node := range w.nodes {
		if err := node.awaitReady(); err != nil {
			return err
		}
	}
	w.rec.note("%d entry instances ready", n)
	return nil
}

// addNode writes the settings of a further instance as deploy/settings.yaml.tmpl does.
func (w *world) addNode() error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	n := &node{
		name: fmt.Sprintf("front-%d", len(w.nodes)+1), callers: addresses[0], ready: addresses[1], peer: addresses[2],
	}
	n.settings = filepath.Join(w.dir, n.name+".yaml")
	text, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return err
	}
	filled := strings.NewReplacer(
		"{{Node|json}}", n.name, "{{Zone|json}}", zone, "{{Bootstrap|json}}", "BOOTSTRAP", "{{Listen.Front|json}}", n.callers,
		"{{Listen.Ready|json}}", n.ready, `"{{Ip}}:{{PortRange.0}}"`, n.peer, `"{{Ip}}:{{PortRange.1}}"`, addresses[3],
		"{{Platform.Address|json}}", w.store.Addr(), `"{{CloudApi.Address}}"`, w.cloud.Address(),
		"[{{#CloudApi.Duties}}{{.|json}}{{,}}{{/CloudApi.Duties}}]", `["usage_report","autoscale"]`, "{{Bounds.RequireFence|json}}", "false",
		"{{Limits.CpuShare}}", "0.4", "{{Limits.MemoryMb}}", "284", "{{Limits.MaxFds}}", "4100", "{{Bounds.LeaseMs}}", "3000",
		"{{Bounds.ConfigApplyMs}}", "2000", "{{Bounds.DrainMs}}", "2000", "{{Bounds.GraceS}}", "8", "{{Bounds.RetryRatio}}", "0.2",
		"{{Bounds.RetrySlack}}", "54", "{{Bounds.RetryWindowS}}", "10", "{{Bounds.UsageWindowS}}", "5", "{{Bounds.UsageDelayS}}", "10",
		"{{Bounds.QuotaOverage}}", "0.1", "{{Bounds.QuotaSlack}}", "190000",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return errors.New("the settings template has placeholders that the stand-in does not fill")
	}
	if n.log, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	return os.WriteFile(n.settings, []byte(filled), 0o600)
}

// start starts the process. bootstrap is true at the first start of the whole system.
func (n *node) start(bootstrap bool) error {
	text, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	path := n.settings + ".filled"
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(string(text), "BOOTSTRAP", fmt.Sprint(bootstrap))), 0o600); err != nil {
		return err
	}
	n.command = exec.Command(binary, "entry")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "KNAPWEEDHOIST_BOOT=" + path}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	if err := n.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	command := n.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (n *node) awaitReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/knapweedhoist/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}
