package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// node is one entry process of the system, started with the command of the deploy file.
type node struct {
	name, zone string
	ip         string
	front      int // ports
	ready      int
	peers      int
	metrics    int
	memoryMB   int
	settings   string
	log        *os.File
	cmd        *exec.Cmd
	exited     chan struct{}
	exitedAt   time.Time
}

// maxFds is the number of descriptors of a process, as the sheet of the deployment states it.
const maxFds = 4100

// runCommand returns the words of the command of the deploy file.
func runCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`).FindSubmatch(content)
	if match == nil {
		return nil, errors.New("deploy/system.toml has no run command")
	}
	return strings.Fields(string(match[1])), nil
}

// freePorts returns n ports of ip that are free now.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newNode writes the settings of a process. number is unique among the nodes of a run.
func (w *world) newNode(number int, zone string) (*node, error) {
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("127.0.1.%d", number), memoryMB: 284}
	ports, err := freePorts(n.ip, 4)
	if err != nil {
		return nil, err
	}
	n.front, n.ready, n.peers, n.metrics = ports[0], ports[1], ports[2], ports[3]
	n.settings = filepath.Join(w.dir, n.name+".settings")
	w.nodes = append(w.nodes, n)
	return n, w.writeSettings(n, true)
}

// writeSettings fills in the settings template of the deploy folder with the bounds of a small deployment.
func (w *world) writeSettings(n *node, bootstrap bool) error {
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return err
	}
	fields := map[string]any{
		"Node": n.name, "Role": "entry", "MachineClass": "front", "Serves": []any{"front"}, "Ip": n.ip, "Zone": n.zone,
		"Region": "sierra", "PortRange": []any{n.peers, n.metrics}, "Bootstrap": bootstrap, "HeartbeatMs": 1200,
		"Listen": map[string]any{"Front": n.address(n.front), "Ready": n.address(n.ready)},
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": n.memoryMB, "MaxFds": maxFds, "LinkMbps": 1000.0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseDelayS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RetryRatio": 0.2,
			"RetryWindowS": 10, "RetrySlack": w.retrySlack, "QuotaWindowS": 8, "QuotaOverage": 0.1, "QuotaSlack": 190000,
			"RequireFence": false, "LeaseMs": 3000, "FreezeSlackMs": 300, "UsageWindowS": 5, "UsageTolerance": 0.05,
			"UsageDelayS": 10, "RecoveryS": 12, "PassMs": 120, "AgainS": 8.9,
		},
		"Platform": map[string]any{"Address": w.store.address(), "form": "objects"},
		"CloudApi": map[string]any{"Address": w.cloud.address(), "Duties": []any{"usage_report"}, "RatePerS": 50.0, "DutyPerS": 50.0},
	}
	return os.WriteFile(n.settings, []byte(render(string(template), fields)), 0o600)
}

func (n *node) address(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

// startNode starts the process and records its end.
func (w *world) startNode(n *node) error {
	words, err := runCommand()
	if err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
			return err
		}
	}
	// The platform limits the descriptors of each process.
	limit := fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", maxFds)
	cmd := exec.Command("sh", append([]string{"-c", limit}, words...)...)
	cmd.Env = []string{
		"KNAPWEEDHOIST_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	w.rec.line("%s starts", n.name)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		n.exitedAt = time.Now()
		w.rec.line("%s ends: %v", n.name, err)
		close(exited)
	}(n.exited)
	return nil
}

// signal sends a signal to the process.
func (w *world) signal(n *node, s syscall.Signal) {
	w.rec.line("%s to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// ended reports whether the process has ended.
func (n *node) ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd != nil && !n.ended() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// isReady asks the process whether it takes new connections.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.address(n.ready) + "/knapweedhoist/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.line("all processes are ready")
	return nil
}

// memoryMBNow returns the resident memory of the process, 0 if it cannot be read.
func (n *node) memoryMBNow() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	match := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(content)
	if match == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(match[1]))
	return kb / 1024
}
