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

// program is the path of the executable that all tests start.
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

// process is one process of a test's fleet.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed once the process has exited; code is its exit code then.
	exited chan struct{}
	code   int

	mu sync.Mutex
	// log is the process's standard output and error.
	log bytes.Buffer
}

// Write implements io.Writer; it appends to the log.
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

// start starts the program with a subcommand and its flags; it is killed when the test ends.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	// If the test binary is killed, its processes must not keep running.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The error of Wait is not needed; the exit code is read instead.
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	t.Cleanup(func() { p.end(t) })
	return p
}

// end kills the process if it still runs, even if it is paused. If the test
// failed, it logs the last 4000 bytes of the process's log and writes the whole
// log to report/proof.
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
	// An error means that the process has exited, and then it needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process immediately without a shutdown, as if its instance were lost.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitExit waits for the process to exit and returns its exit code; if it takes longer than within, the test fails.
func (p *process) waitExit(t testing.TB, within time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.code
	case <-time.After(within):
		t.Fatalf("%s did not exit within %s", p.name, within)
		return 0
	}
}

// Ports are chosen below the kernel's range for outgoing connections, so that no
// such connection can take a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var ports struct {
	sync.Mutex
	next int
}

// host is the loopback address of this test process. On a shared one, the processes of another test could
// listen on a port between its choice and its use.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, os.Getpid()/250%250)

// freeAddress returns a loopback address on which no process listens.
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
		address := fmt.Sprintf("%s:%d", host, ports.next)
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
