package faultsoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every daemon; each has an IP address of its own.
const (
	callersPort = ":7600"
	readyPort   = ":7601"
	peersPort   = ":7602"
)

// process is one entry daemon, which may be started again.
type process struct {
	name     string
	binary   string
	settings string
	log      *os.File
	// host is the IP address that the daemon listens on; callers go through link.
	host string
	link *link

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// start runs the daemon unless it runs already.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && !isClosed(p.ended) {
		return nil
	}
	command := exec.Command(p.binary, "entry", "-c", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // a killed process ends with an error
		close(ended)
	}()
	p.command, p.ended = command, ended
	return nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process that runs now, if any, and returns what is closed at its end.
func (p *process) signal(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isClosed(p.ended) {
		_ = p.command.Process.Signal(signal) // fails only when it has just ended
	}
	return p.ended
}

// kill ends the process at once.
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

// loopback returns an IP address of the loopback range that no other daemon of this or another run uses, so that a
// daemon finds its ports free at every start.
func loopback(seed uint64, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, seed%250, n+1)
}

// writeSettings writes the settings of the daemon; slack is a bound that may change while it runs.
func (p *process) writeSettings(store, cloud string, slack int) error {
	text := fmt.Sprintf(`instance: %q
data_centre: sample
new_deployment: true
listen: {callers: %q, ready: %q, peers: %q}
store: %q
cloud: %q
duties: [usage_report]
alternation_ms: 1500
stop_grace_s: 6
usage: {window_s: 1, delay_s: 3}
retries: {slack: %d}
`, p.name, p.host+callersPort, p.host+readyPort, p.host+peersPort, store, cloud, slack)
	next := p.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settings)
}

// buildDaemon builds the daemon and returns its path.
func buildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "knapweedhoist")
	output, err := exec.Command("go", "build", "-o", binary, "knapweedhoist/cmd/knapweedhoist").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return binary, nil
}
