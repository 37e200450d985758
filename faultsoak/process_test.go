package faultsoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every daemon. All daemons use the same ports, since each listens on an IP address of its own.
const (
	callersPort = ":7600"
	readyPort   = ":7601"
	peersPort   = ":7602"
)

const (
	// memoryMB is the memory of a daemon in MiB, that of the smallest machines.
	memoryMB = 184
	// maxDescriptors is the number of descriptors of a daemon, which allows 210 connections of callers.
	maxDescriptors = 600
	// execTime is the time in which a new process may not run any code of its own yet, so that a signal ends it. Signals that come later
	// during the start are those of TestSignalsDuringTheStart.
	execTime = 50 * time.Millisecond
)

// process is one entry daemon, which can be restarted.
type process struct {
	name         string
	binary       string
	settingsPath string
	log          *os.File
	// host is the IP address that the daemon listens on; callers connect through link.
	host string
	link *link

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// told is set once the running process was told to end. violations holds what processes did that none may do.
	told       bool
	startedAt  time.Time
	violations []string
}

// start starts the daemon unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && !isClosed(p.exited) {
		return nil
	}
	command := exec.Command(p.binary, "entry", "-c", p.settingsPath)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		err := command.Wait() // an error for a killed process
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.told {
			p.violations = append(p.violations, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		close(exited)
	}()
	p.command, p.exited, p.told, p.startedAt = command, exited, false, time.Now()
	return nil
}

// peakMemory returns the largest resident memory of the running process in MiB, 0 if it has exited.
func (p *process) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var kilobytes int
	if _, peak, found := strings.Cut(string(status), "VmHWM:"); found {
		_, _ = fmt.Sscan(peak, &kilobytes) // a process that has just exited has no value
	}
	return kilobytes >> 10
}

// check returns the violations of the processes so far.
func (p *process) check() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkMemory()
	return p.violations
}

// checkMemory records a violation if the running process has exceeded its memory. The caller holds p.mu.
func (p *process) checkMemory() {
	if peak := p.peakMemory(); peak > memoryMB {
		p.violations = append(p.violations, fmt.Sprintf("%s had %d MiB, %d are allowed", p.name, peak, memoryMB))
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process if it is running, and returns a channel that is closed when it has exited.
func (p *process) signal(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isClosed(p.exited) {
		p.checkMemory()
		p.told = p.told || signal == syscall.SIGTERM || signal == syscall.SIGKILL ||
			signal == syscall.SIGHUP && time.Since(p.startedAt) < execTime
		_ = p.command.Process.Signal(signal) // fails only when the process has just exited
	}
	return p.exited
}

// kill kills the process with SIGKILL and waits until it has exited.
func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.host + readyPort)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// loopbackAddress returns the loopback IP address of the daemon with index n. Daemons have different addresses, so that
// their ports are free at every start. Two runs share addresses only if their seeds are equal modulo 250 and the ids of
// their test processes are equal modulo 128.
func loopbackAddress(seed uint64, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, seed%250, n+1)
}

// writeSettings replaces the settings file of the daemon atomically. slack is the setting retries.slack, which may
// change while the daemon runs.
func (p *process) writeSettings(store, cloud string, slack int) error {
	text := fmt.Sprintf(`instance: %q
data_centre: sample
new_deployment: true
listen: {callers: %q, ready: %q, peers: %q}
store: %q
cloud: %q
duties: [usage_report, autoscale]
alternation_ms: 1500
stop_grace_s: 6
usage: {window_s: 1, delay_s: 3}
retries: {slack: %d}
memory_mb: %d
max_descriptors: %d
`, p.name, p.host+callersPort, p.host+readyPort, p.host+peersPort, store, cloud, slack, memoryMB, maxDescriptors)
	next := p.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settingsPath)
}

// buildDaemon builds the daemon and returns its path.
func buildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "knapweedhoist")
	output, err := exec.Command("go", "build", "-o", binary, "knapweedhoist/cmd/knapweedhoist").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, output)
	}
	return binary, nil
}
