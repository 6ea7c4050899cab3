package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/engine"
	"github.com/sardinerock/sardinerock/entry"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/httpd"
	"github.com/sardinerock/sardinerock/remote"
	"github.com/sardinerock/sardinerock/side"
)

// Defaults and limits of a fleet.
const (
	// DefaultShards is the number of job shards if Fleet.Shards is 0.
	DefaultShards = 4
	// DefaultReadyTimeout bounds the time in which Start publishes the bundle and
	// waits until all backend servers are up.
	DefaultReadyTimeout = 30 * time.Second

	region            = "region1"
	stopTimeout       = 5 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Fleet is a whole fleet on loopback in this process.
type Fleet struct {
	// Entries, Sides and Services are how many there are of entries, of sides
	// beside model engines and of sides beside plain services.
	Entries  int
	Sides    int
	Services int
	// Zones are the availability zones, which instances are assigned to round robin; empty means three.
	Zones []string
	// Shards is the number of job shards; 0 means DefaultShards.
	Shards int
	// Policy is empty for the usual scheduling, or "fifo" for the baseline without gate and priorities.
	Policy string
	// Engine sets the speed and faults of all engines. RestartAfter is the time
	// from an engine's crash to its restart; 0 means no restart.
	Engine       engine.Knobs
	RestartAfter time.Duration
	// ListKnobs and LogKnobs are the initial faults of the platform's services.
	ListKnobs fakes.InstancesKnobs
	LogKnobs  fakes.LogKnobs
	// Bundle is published by Start.
	Bundle sardinerock.Bundle
	// Operator is the bearer token of an operator in the bundle.
	Operator string
	// Seed seeds the first entry's random choices; each further entry adds one.
	Seed uint64
	// Events receives the log events of all processes; nil discards them.
	Events *event.Logger

	// Log and List are the fakes of the platform's services, created by Start.
	Log  *fakes.Log
	List *fakes.Instances

	entries   []*process
	backends  []*backend
	processes sync.WaitGroup
}

// process is one embedded process of the system, with the listeners and the log client that a kill closes.
type process struct {
	id        string
	url       string
	listeners []*killableListener
	log       *killableLog
	cancel    context.CancelFunc
}

// backend is a side with its backend server, of which either engine or service is set.
type backend struct {
	process
	host    *fakes.Host
	engine  *engine.Fake
	service *fakes.Service
}

// Start starts all processes, publishes the bundle, and returns once each entry sees all backend servers up.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Shards == 0 {
		f.Shards = DefaultShards
	}
	if len(f.Zones) == 0 {
		f.Zones = []string{"zone1", "zone2", "zone3"}
	}
	f.Log = &fakes.Log{Knobs: f.LogKnobs}
	f.List = &fakes.Instances{Knobs: f.ListKnobs}
	for i := range f.Sides {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range f.Services {
		if err := f.startService(i); err != nil {
			return err
		}
	}
	for i := range f.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	return f.publishBundle(ctx)
}

// Stop shuts all processes down; requests in progress get up to stopTimeout to finish.
func (f *Fleet) Stop() {
	for _, p := range f.entries {
		p.cancel()
	}
	for _, b := range f.backends {
		b.cancel()
	}
	f.processes.Wait()
	for _, b := range f.backends {
		b.host.Stop()
	}
}

// URLs returns the base URLs for callers of the entries that were not killed.
func (f *Fleet) URLs() []string {
	var urls []string
	for _, p := range f.entries {
		if !p.listeners[0].isKilled() {
			urls = append(urls, p.url)
		}
	}
	return urls
}

// Engines returns the fake engines, in the order of their sides.
func (f *Fleet) Engines() []*engine.Fake {
	var engines []*engine.Fake
	for _, b := range f.backends[:f.Sides] {
		engines = append(engines, b.engine)
	}
	return engines
}

// EngineURL returns the base URL of the engine beside the i-th side.
func (f *Fleet) EngineURL(i int) string { return f.backends[i].host.URL() }

// PlainServices returns the fake plain services, in the order of their sides.
func (f *Fleet) PlainServices() []*fakes.Service {
	var services []*fakes.Service
	for _, b := range f.backends[f.Sides:] {
		services = append(services, b.service)
	}
	return services
}

// KillSide simulates the loss of the i-th side's instance, with its backend
// server: all connections close at once without notice. The instance list shows
// it after its lag.
func (f *Fleet) KillSide(i int) {
	b := f.backends[i]
	b.host.Stop()
	b.kill()
	f.List.Remove(b.id)
}

// KillEntry simulates the loss of the i-th entry's instance. Its work in progress
// finds all connections closed and the log unreachable.
func (f *Fleet) KillEntry(i int) {
	f.entries[i].kill()
	f.List.Remove(f.entries[i].id)
}

func (p *process) kill() {
	if p.log != nil {
		p.log.kill()
	}
	for _, l := range p.listeners {
		l.kill()
	}
	p.cancel()
}

func (f *Fleet) zone(i int) string { return f.Zones[i%len(f.Zones)] }

// run runs a process in the background until p.cancel is called.
func (f *Fleet) run(p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	f.processes.Go(func() {
		if err := run(ctx); err != nil && ctx.Err() == nil {
			f.Events.Error(event.Failed).Str("instance", p.id).Err(err).Msg("embedded process ended with an error; the fleet runs on without it")
		}
	})
}

func (p *process) listen() (*killableListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &killableListener{Listener: listener, conns: make(map[net.Conn]struct{})}
	p.listeners = append(p.listeners, l)
	return l, nil
}

func (f *Fleet) startEntry(i int) error {
	p := &process{id: fmt.Sprintf("entry%d", i), log: &killableLog{Log: f.Log}}
	callers, err := p.listen()
	if err != nil {
		return err
	}
	peers, err := p.listen()
	if err != nil {
		return err
	}
	p.url = "http://" + callers.Addr().String()
	e := &entry.Entry{
		ID: p.id, Region: region, Zone: f.zone(i),
		CallerListener: callers, PeerListener: peers,
		Log: p.log, Instances: f.List, Shards: f.Shards, Seed: f.Seed + uint64(i),
		Policy: f.Policy, Events: f.eventLogger(p.id), ShutdownTimeout: stopTimeout,
	}
	f.entries = append(f.entries, p)
	f.run(p, e.Run)
	f.List.Put(sardinerock.Instance{
		ID: p.id, Role: sardinerock.RoleEntry, Region: region, Zone: f.zone(i), Address: peers.Addr().String(),
	})
	return nil
}

func (f *Fleet) startEngine(i int) error {
	b := &backend{engine: &engine.Fake{Knobs: f.Engine}}
	b.id = fmt.Sprintf("side%d", i)
	b.host = &fakes.Host{Handler: b.engine, RestartAfter: f.RestartAfter}
	b.engine.OnCrash = b.host.Crash
	return f.startSide(b, i, "")
}

func (f *Fleet) startService(i int) error {
	names := f.Bundle.Services
	if len(names) == 0 {
		return errors.New("fleet: the bundle has no plain service")
	}
	name := names[i%len(names)].Name
	b := &backend{service: &fakes.Service{Name: name}}
	b.id = fmt.Sprintf("service%d", i)
	b.host = &fakes.Host{Handler: b.service}
	return f.startSide(b, i, name)
}

func (f *Fleet) startSide(b *backend, i int, service string) error {
	if err := b.host.Start(); err != nil {
		return err
	}
	listener, err := b.listen()
	if err != nil {
		return err
	}
	s := &side.Side{
		ID: b.id, Region: region, Zone: f.zone(i), Listener: listener, Service: service,
		Instances: f.List, Policy: f.Policy, Events: f.eventLogger(b.id), ShutdownTimeout: stopTimeout,
	}
	if service == "" {
		s.Engine = &remote.Engine{Sender: remote.Sender{URL: b.host.URL()}}
	} else {
		s.Plain = &remote.Service{Sender: remote.Sender{URL: b.host.URL()}}
	}
	f.backends = append(f.backends, b)
	f.run(&b.process, s.Run)
	f.List.Put(sardinerock.Instance{
		ID: b.id, Role: sardinerock.RoleSide, Region: region, Zone: f.zone(i),
		Address: listener.Addr().String(), Service: service,
	})
	return nil
}

func (f *Fleet) eventLogger(id string) *event.Logger {
	if f.Events == nil {
		return nil
	}
	return &event.Logger{Sink: f.Events.Sink, Process: id}
}

// publishBundle publishes the bundle and waits until each entry sees all backend servers up.
func (f *Fleet) publishBundle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultReadyTimeout)
	defer cancel()
	raw, err := json.Marshal(f.Bundle)
	if err != nil {
		return err
	}
	err = poll(ctx, func() error {
		return f.callOperator(ctx, f.entries[0].url, http.MethodPost, "/operator/bundles", raw, nil)
	})
	if err != nil {
		return merry.Prepend(err, "fleet: publish")
	}
	for _, p := range f.entries {
		if err := poll(ctx, func() error { return f.checkServing(ctx, p.url) }); err != nil {
			return merry.Prependf(err, "fleet: %s", p.id)
		}
	}
	return nil
}

// checkServing returns an error unless the entry sees all backend servers up, and all engines with a model loaded.
func (f *Fleet) checkServing(ctx context.Context, url string) error {
	var status httpd.Status
	if err := f.callOperator(ctx, url, http.MethodGet, "/operator/status", nil, &status); err != nil {
		return err
	}
	up := 0
	for _, b := range status.Backends {
		if b.State == "up" && (b.Service != "" || len(b.Loaded) > 0) {
			up++
		}
	}
	if want := f.Sides + f.Services; up < want {
		return merry.Errorf("%d of %d backend servers are up", up, want)
	}
	return nil
}

// callOperator sends an operator's request to an entry and decodes the JSON response into a value, unless that is nil.
func (f *Fleet) callOperator(ctx context.Context, url, method, path string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, url+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+f.Operator)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("status %d: %s", response.StatusCode, answer)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(answer, into)
}

// poll calls try until it succeeds. If ctx ends first, it returns the last error that ctx didn't cause.
func poll(ctx context.Context, try func() error) error {
	var last error
	for {
		err := try()
		if err == nil {
			return nil
		}
		// An error caused by the end of ctx says less than the one before it.
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(readyPollInterval):
		}
	}
}
