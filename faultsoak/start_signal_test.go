package faultsoak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSignalsDuringTheStart guards against a process that a signal ends before its handler is installed.
func TestSignalsDuringTheStart(t *testing.T) {
	binary, err := buildDaemon(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			g := NewWithT(t)
			r, err := newSoakRun(uint64(signal), binary, t.TempDir())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { g.Expect(r.close()).To(Succeed()) }()
			r.awaitReady(g)
			p := r.processes[0]
			p.kill()
			settings, err := os.ReadFile(p.settingsPath)
			g.Expect(err).NotTo(HaveOccurred())
			// The process reads its settings from a pipe, which holds it there until the signal is sent.
			pipe := filepath.Join(t.TempDir(), "settings.yaml")
			g.Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
			regular := p.settingsPath
			p.settingsPath = pipe
			g.Expect(p.start()).To(Succeed())
			writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			g.Expect(err).NotTo(HaveOccurred())
			exited := p.signal(signal)
			_, err = writer.Write(settings)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(os.Rename(regular, pipe)).To(Succeed())
			g.Expect(writer.Close()).To(Succeed())
			if signal == syscall.SIGHUP {
				g.Eventually(p.isReady, hangTimeout).Should(BeTrue())
				p.signal(syscall.SIGTERM)
			}
			g.Eventually(exited, hangTimeout).Should(BeClosed())
			g.Expect(p.command.ProcessState.ExitCode()).To(BeZero())
		})
	}
}
