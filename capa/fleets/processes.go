package fleets

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/grants"
	"github.com/sardinerock/sardinerock/remote"
)

// child is one process of the program.
type child struct {
	cmd *exec.Cmd
	url string

	mu sync.Mutex
	// inForce and accepted are when the process logged each version.
	inForce, accepted map[int64]time.Time
}

// logLine is what we read of a log line.
type logLine struct {
	Time    time.Time `json:"time"`
	Event   event.ID  `json:"event"`
	Version int64     `json:"version"`
}

func startChild(program string, args ...string) (*child, error) {
	c := &child{cmd: exec.Command(program, args...), inForce: map[int64]time.Time{}, accepted: map[int64]time.Time{}}
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go c.follow(out)
	return c, nil
}

func (c *child) follow(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var l logLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			continue
		}
		c.mu.Lock()
		switch l.Event {
		case event.BundleInForce:
			c.inForce[l.Version] = l.Time
		case event.BundleAccepted:
			c.accepted[l.Version] = l.Time
		}
		c.mu.Unlock()
	}
}

func (c *child) at(times map[int64]time.Time, version int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return times[version]
}

// usage returns the processor time used so far and the resident memory, of which anonymous.
func (c *child) usage() (used time.Duration, anonymous float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	const ticks = 10 * time.Millisecond
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, f := range fields[11:13] {
		if n, err := strconv.Atoi(f); err == nil {
			used += time.Duration(n) * ticks
		}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return used, 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			if n, err := strconv.Atoi(strings.Fields(rest)[0]); err == nil {
				anonymous = float64(n) * 1024
			}
		}
	}
	return used, anonymous
}

// processes is a fleet of separate processes on loopback.
type processes struct {
	program        string
	all            []*child
	entries, sides []*child
	listURL        string
	logURL         string
	serviceURL     string
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// standin starts a stand-in and returns its base URL once it listens.
func (f *processes) standin(kind string) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	c, err := startChild(f.program, "standin", kind, "--address", address)
	if err != nil {
		return "", err
	}
	f.all = append(f.all, c)
	url := "http://" + address
	return url, eventually(func() bool { return answers(url + "/knobs") })
}

func answers(url string) bool {
	reply, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode < http.StatusInternalServerError
}

func eventually(done func() bool) error {
	deadline := time.Now().Add(40 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not done after 40 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (f *processes) stop() {
	for _, c := range f.all {
		// A process that is gone already needs no signal, and its exit code says nothing here.
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
}

// start runs n processes of the system beside one log, list and plain service.
func (f *processes) start(n int) error {
	for kind, url := range map[string]*string{"log": &f.logURL, "instances": &f.listURL, "service": &f.serviceURL} {
		var err error
		if *url, err = f.standin(kind); err != nil {
			return err
		}
	}
	entries := max(3, (n+30)/31)
	for i := range n {
		role := sardinerock.RoleSide
		if i < entries {
			role = sardinerock.RoleEntry
		}
		if err := f.add(i, role); err != nil {
			return err
		}
	}
	return nil
}

func (f *processes) add(i int, role sardinerock.Role) error {
	peers, err := freeAddress()
	if err != nil {
		return err
	}
	callers, err := freeAddress()
	if err != nil {
		return err
	}
	x := sardinerock.Instance{ID: fmt.Sprintf("i-%s-%04d", role, i), Role: role, Region: "region1", Zone: string(rune('a' + i%3)), Address: peers}
	args := []string{string(role), "--id", x.ID, "--region", x.Region, "--zone", x.Zone, "--instances-url", f.listURL}
	if role == sardinerock.RoleEntry {
		args = append(args, "--caller-address", callers, "--peer-address", peers, "--log-url", f.logURL)
	} else {
		x.Service = "portal"
		args = append(args, "--address", peers, "--service-name", x.Service, "--service-url", f.serviceURL)
	}
	c, err := startChild(f.program, args...)
	if err != nil {
		return err
	}
	c.url = "http://" + callers
	f.all = append(f.all, c)
	if role == sardinerock.RoleEntry {
		f.entries = append(f.entries, c)
	} else {
		f.sides = append(f.sides, c)
	}
	list := &remote.Instances{Sender: remote.Sender{URL: f.listURL}}
	return list.Put(context.Background(), x)
}

func (f *processes) publish(b *sardinerock.Bundle, through *child) error {
	document, err := os.CreateTemp("", "bundle")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(document.Name()) }()
	if err := json.NewEncoder(document).Encode(b); err != nil {
		return err
	}
	if err := document.Close(); err != nil {
		return err
	}
	out, err := exec.Command(f.program, "publish", document.Name(), "--entry", through.url, "--token", operatorToken).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// spread waits until all processes run the version, and returns the time from its acceptance until the last one did.
func (f *processes) spread(version int64) (time.Duration, error) {
	nodes := slices.Concat(f.entries, f.sides)
	err := eventually(func() bool {
		return !slices.ContainsFunc(nodes, func(c *child) bool { return c.at(c.inForce, version).IsZero() })
	})
	if err != nil {
		return 0, fmt.Errorf("version %d everywhere: %w", version, err)
	}
	var accepted, last time.Time
	for _, c := range nodes {
		if at := c.at(c.accepted, version); !at.IsZero() && (accepted.IsZero() || at.Before(accepted)) {
			accepted = at
		}
		if at := c.at(c.inForce, version); at.After(last) {
			last = at
		}
	}
	return last.Sub(accepted), nil
}

// processPoints are what fleets of separate processes showed.
type processPoints struct {
	median, worst, entryCPU, sideCPU, entryMem, sideMem []meter.Point
}

// Processes starts fleets of separate processes and publishes to them.
func Processes(r *meter.Report, program string) error {
	var m processPoints
	for _, n := range []int{10, 50, 200} {
		if err := m.measure(program, n); err != nil {
			return fmt.Errorf("%d processes: %w", n, err)
		}
	}
	r.Values("separate processes, acceptance to in force on every one, 200 teams: median of 10", "ms", m.median...)
	r.Values("separate processes, acceptance to in force on every one, 200 teams: worst of 10", "ms", m.worst...)
	r.Values("separate processes, idle entry: CPU, by processes", "us per s", m.entryCPU...)
	r.Values("separate processes, idle side: CPU, by processes", "us per s", m.sideCPU...)
	r.Values("separate processes, idle entry: resident anonymous memory, by processes", "B", m.entryMem...)
	r.Values("separate processes, idle side: resident anonymous memory, by processes", "B", m.sideMem...)
	return nil
}

func (m *processPoints) measure(program string, n int) error {
	const changes, teams = 10, 200
	f := &processes{program: program}
	defer f.stop()
	if err := f.start(n); err != nil {
		return err
	}
	next := func(basedOn int64) *sardinerock.Bundle {
		b := sample.Bundle(basedOn, teams, 600+int(basedOn))
		b.Callers[1].Operator = true
		b.Callers[1].KeyHashes = []string{grants.HashToken(operatorToken)}
		return b
	}
	if err := eventually(func() bool { return f.publish(next(0), f.entries[0]) == nil }); err != nil {
		return err
	}
	if _, err := f.spread(1); err != nil {
		return err
	}
	var took []float64
	for i := range int64(changes) {
		if err := f.publish(next(i+1), f.entries[int(i)%len(f.entries)]); err != nil {
			return err
		}
		d, err := f.spread(i + 2)
		if err != nil {
			return err
		}
		took = append(took, float64(d.Milliseconds()))
	}
	slices.Sort(took)
	size := float64(n)
	m.median = append(m.median, meter.At(size, took[changes/2]))
	m.worst = append(m.worst, meter.At(size, took[changes-1]))
	const window = 10 * time.Second
	before := make([]time.Duration, len(f.all))
	for i, c := range f.all {
		before[i], _ = c.usage()
	}
	time.Sleep(window)
	mean := func(nodes []*child) (used, anonymous float64) {
		for _, c := range nodes {
			now, memory := c.usage()
			used += float64((now - before[slices.Index(f.all, c)]).Microseconds()) / window.Seconds() / float64(len(nodes))
			anonymous += memory / float64(len(nodes))
		}
		return used, anonymous
	}
	entryCPU, entryMem := mean(f.entries)
	sideCPU, sideMem := mean(f.sides)
	m.entryCPU, m.entryMem = append(m.entryCPU, meter.At(size, entryCPU)), append(m.entryMem, meter.At(size, entryMem))
	m.sideCPU, m.sideMem = append(m.sideCPU, meter.At(size, sideCPU)), append(m.sideMem, meter.At(size, sideMem))
	return nil
}
