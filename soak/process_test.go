package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// process is one entry.
type process struct {
	name, frontAddress, readyAddress string
	settingsFile                     string
	log                              *os.File

	// mu guards cmd, because a delayed signal may be sent while the entry is restarted.
	mu  sync.Mutex
	cmd *exec.Cmd
}

// newEntry writes the settings file of an entry. Each entry has its own loopback address: on
// a shared address, an outgoing connection could take a free port before the entry listens.
func (s *soak) newEntry(i int) *process {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 10+i)
	p := &process{name: fmt.Sprint("front-", i), frontAddress: ip + ":8144", readyAddress: ip + ":8140"}
	p.settingsFile = filepath.Join(s.dir, p.name+".toml")
	text := fmt.Sprintf("node = %q\nip = %q\nzone = \"z\"\nport_range = [7660,7675]\n[listen]\nfront = %q\nready = %q\n[bounds]\ngrace_s = 6\nstatus_s = 600\ndrain_ms = %d\nstrict_revoke = true\nrevoke_ms = %d\n[platform]\naddress = %q\nrecord_bytes = 4000\ncall_bytes = 100000\nparts = 3\n",
		p.name, ip, p.frontAddress, p.readyAddress, drainTimeout.Milliseconds(), revokeTimeout.Milliseconds(), s.store.proxy.address())
	s.must(os.WriteFile(p.settingsFile, []byte(text), 0o600))
	return p
}

func (s *soak) start(p *process) {
	var err error
	p.log, err = os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	cmd := exec.Command(program, "node", "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	s.must(cmd.Start())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
}

func (p *process) command() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

func (s *soak) signal(p *process, sig syscall.Signal) { _ = p.command().Process.Signal(sig) }

// restart waits for an entry's process to end and starts a new one.
func (s *soak) restart(p *process) {
	_ = p.command().Wait()
	p.log.Close()
	s.start(p)
}

func (s *soak) entry(n int) *process {
	if only := s.onlyEntry.Load(); only > 0 {
		return s.entries[only-1]
	}
	return s.entries[n%len(s.entries)]
}
