package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one entry instance, a process of its own.
type node struct {
	name    string
	front   string
	ready   string
	cmd     *exec.Cmd
	ended   chan struct{}
	exited  atomic.Bool
	killed  atomic.Bool
	logPath string
}

// maxFiles is the bound of the platform on the descriptors of a process (MaxFds).
const maxFiles = 4100

// memoryMB is the bound of the platform on the memory of a process (MemoryMb).
const memoryMB = 284

// startNode starts an entry instance with the settings that deploy/settings.yaml.tmpl gives for a machine of the site
// hlh-snowdesk.
func startNode(d *deployment, name string) (*node, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, front: addresses[0], ready: addresses[1], ended: make(chan struct{}), logPath: filepath.Join(d.dir, name+".log")}
	settings := filepath.Join(d.dir, name+".yaml")
	if err := os.WriteFile(settings, []byte(settingsText(d, name, addresses)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(n.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" entry", maxFiles), d.program)
	n.cmd.Env = append(os.Environ(), "KNAPWEEDHOIST_BOOT="+settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	d.rec.add("%s started, process %d", name, n.cmd.Process.Pid)
	go func() {
		err := n.cmd.Wait()
		n.exited.Store(true)
		d.rec.add("%s ended (%v, killed by the case: %v); last log line: %s", name, err, n.killed.Load(), n.lastLogLine())
		close(n.ended)
	}()
	return n, nil
}

func settingsText(d *deployment, name string, addresses []string) string {
	return fmt.Sprintf(`instance: %q
data_centre: %q
new_deployment: true
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
store: %q
cloud: %q
duties: ["usage_report"]
checks_fence: false
cpu_share: 0.4
memory_mb: %d
alternation_ms: 3000
apply_ms: 2000
leave_ms: 2000
stop_grace_s: 8
retries:
  ratio: 0.2
  slack: 56
  window_s: 10
usage:
  window_s: 5
  delay_s: 10
limits:
  overage: 0.1
  slack: 190000
`, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], d.store.Addr(), d.cloud.Address(), memoryMB)
}

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// isReady asks the instance as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/knapweedhoist/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("entry instance did not become ready")

func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s: %s", errNotReady, n.name, n.lastLogLine())
}

// kill ends the process.
func (n *node) kill() {
	n.killed.Store(true)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.ended
}

// memory returns the resident memory of the process in MB, 0 if it has ended.
func (n *node) memory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

func (n *node) lastLogLine() string {
	content, err := os.ReadFile(n.logPath)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return lines[len(lines)-1]
}
