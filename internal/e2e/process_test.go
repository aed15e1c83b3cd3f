package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The timeouts only end a test that hangs.
const (
	startTimeout = 30 * time.Second
	stopTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// binary returns the path of one of the project's binaries. The first call builds them.
func binary(t *testing.T, name string) string {
	t.Helper()
	buildOnce.Do(func() {
		if buildDir, buildErr = os.MkdirTemp("", "ragwort-e2e"); buildErr != nil {
			return
		}
		build := exec.Command("go", "build", "-o", buildDir+"/", "../../cmd/...")
		if out, err := build.CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatalf("build: %v", buildErr)
	}
	return filepath.Join(buildDir, name)
}

// process is one binary that can be stopped and started again.
type process struct {
	t        *testing.T
	name     string
	path     string
	args     []string
	readyURL string // returns status 200 while the process is ready

	mu  sync.Mutex // protects log
	log bytes.Buffer
	cmd *exec.Cmd // nil while the process is stopped
}

// start starts a binary, waits until it is ready, and kills it at the end of the test. path
// is the binary's file and ready its readyURL.
func start(t *testing.T, name, path, ready string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, path: path, args: args, readyURL: ready}
	p.start()
	t.Cleanup(p.cleanup)
	return p
}

// Write adds output of the process to its log, whose end is printed if the test fails.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// start starts the process, for the first time or again, and waits until it is ready.
func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.Env = append(os.Environ(), "RAGWORT_PEER_KEY=e2e-peer-key")
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	p.waitReady()
}

func (p *process) waitReady() {
	p.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if p.isReady() {
			return
		}
		time.Sleep(pollInterval)
	}
	p.t.Fatalf("%s is not ready at %s:\n%s", p.name, p.readyURL, p.logTail())
}

func (p *process) isReady() bool {
	response, err := http.Get(p.readyURL)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop sends SIGTERM and waits until the process exits; the exit code must be 0.
func (p *process) stop() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatalf("stop %s: %v", p.name, err)
	}
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		p.cmd = nil
		if err != nil {
			p.t.Errorf("%s: %v after SIGTERM:\n%s", p.name, err, p.logTail())
		}
	case <-time.After(stopTimeout):
		p.t.Fatalf("%s did not stop:\n%s", p.name, p.logTail())
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

func (p *process) cleanup() {
	if p.cmd != nil {
		p.kill()
	}
	if p.t.Failed() {
		p.t.Logf("%s:\n%s", p.name, p.logTail())
	}
}

// logTailBytes is the maximum length of logTail.
const logTailBytes = 4000

// logTail returns the end of the log.
func (p *process) logTail() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.log.Bytes()
	return bytes.Clone(log[max(0, len(log)-logTailBytes):])
}
