package proof

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// program is the path of the program that all tests start.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "sardinerock")
	build := exec.Command("go", "build", "-o", program, "../cmd/sardinerock")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is one separate process of a test's fleet.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed once the process is gone; code holds its exit code then.
	exited chan struct{}
	code   int

	mu  sync.Mutex
	log bytes.Buffer
}

// Write takes what the process logs.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// start runs the program with a subcommand and its flags, until the test ends.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	// A test binary that is ended from outside must leave no processes behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit code tells all that matters of the error.
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	t.Cleanup(func() { p.end(t) })
	return p
}

// end kills what still runs, also if it is stopped. If the test failed it shows
// the log's end and keeps the whole log in report/proof.
func (p *process) end(t testing.TB) {
	p.signal(syscall.SIGKILL)
	<-p.exited
	if !t.Failed() {
		return
	}
	const tail = 4000
	text := p.logged()
	t.Logf("--- %s (exit %d):\n%s", p.name, p.code, text[max(0, len(text)-tail):])
	folder := filepath.Join("..", "report", "proof", t.Name())
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Log(err)
		return
	}
	if err := os.WriteFile(filepath.Join(folder, p.name+".log"), []byte(text), 0o644); err != nil {
		t.Log(err)
	}
}

func (p *process) signal(s syscall.Signal) {
	// A process that is gone already needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process as a lost instance does: at once and without a word.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitExit returns the exit code, or fails the test.
func (p *process) waitExit(t testing.TB, within time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.code
	case <-time.After(within):
		t.Fatalf("%s did not end within %s", p.name, within)
		return 0
	}
}

// Ports lie below those that the kernel gives to outgoing connections, so that
// none of these takes a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + os.Getpid()*37%(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}
