package fleets

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/config"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/wire"
)

// spreadNode is what of an entry or a side takes part in spreading a configuration.
type spreadNode interface {
	sardinerock.ConfigSource
}

// spreadSide learns versions from the entries linked to it.
type spreadSide struct {
	bundle.Replica
}

// Opened implements link.Handler.
func (s *spreadSide) Opened(*link.Session) {}

// Closed implements link.Handler.
func (s *spreadSide) Closed(*link.Session) {}

// Start implements link.Handler.
func (s *spreadSide) Start(*link.Session, *wire.Start) {}

// Cancel implements link.Handler.
func (s *spreadSide) Cancel(*link.Session, string) {}

// Sections implements link.Handler.
func (s *spreadSide) Sections(_ *link.Session, x *wire.Sections) {
	received := make([]bundle.Section, len(x.Sections))
	for i, y := range x.Sections {
		received[i] = bundle.Section{Name: y.Name, Digest: y.Digest, Content: y.Content}
	}
	if err := s.Take(x.Version, x.Digest, received); err != nil {
		panic(err)
	}
}

// Beat implements link.Handler.
func (s *spreadSide) Beat(session *link.Session, beat *wire.EntryBeat) {
	if behind, have := s.Behind(beat.ConfigVersion); behind {
		session.Send(&wire.SideFrame{Body: &wire.SideFrame_Want{Want: &wire.WantSections{Version: beat.ConfigVersion, Have: have}}})
	}
	session.SendBeat(&wire.SideBeat{Sequence: beat.Sequence, Echo: beat.Sequence, BackendUp: true})
}

// spreadFleet is a fleet whose nodes talk over loopback, all in this process.
type spreadFleet struct {
	signer  *sample.Signer
	log     *sample.Log
	keepers []*config.Keeper
	nodes   []spreadNode
	clients []*link.Client
	bytes   atomic.Int64
	stop    func()
}

func startFleet(n int) (*spreadFleet, error) {
	s, err := sample.NewSigner()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &spreadFleet{signer: s, log: sample.NewLog()}
	var running sync.WaitGroup
	f.stop = func() {
		cancel()
		running.Wait()
	}
	entries := max(3, (n+30)/31)
	_, near, backends := sample.Instances(entries, n-entries)
	for i := range backends {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.stop()
			return nil, err
		}
		backends[i].Address = listener.Addr().String()
		side := &spreadSide{Replica: bundle.Replica{Signers: s.Public, SignOffsNeeded: 1}}
		f.nodes = append(f.nodes, side)
		server := &link.Server{Handler: side, SilentAfter: time.Minute}
		running.Go(func() { _ = server.Serve(ctx, listener) })
	}
	for _, x := range near {
		k := s.Keeper(f.log, x.ID)
		f.keepers = append(f.keepers, k)
		f.nodes = append(f.nodes, k)
		running.Go(func() { _ = k.Run(ctx) })
		f.linkEntry(ctx, &running, k, member.Subset(x, near, backends, member.SubsetSize))
	}
	return f, nil
}

// linkEntry gives an entry its links, and has it tell its sides of each version at once.
func (f *spreadFleet) linkEntry(ctx context.Context, running *sync.WaitGroup, k *config.Keeper, sides []sardinerock.Instance) {
	own := make([]*link.Client, 0, len(sides))
	for _, x := range sides {
		c := &link.Client{
			SideID: x.ID, Address: x.Address, EntryID: k.Process,
			Beat: func() *wire.EntryBeat {
				beat := &wire.EntryBeat{Sequence: 1000}
				if s := k.Current(); s != nil {
					beat.ConfigVersion = s.Version
				}
				return beat
			},
			OnBeat:   func(*wire.SideBeat) {},
			Sections: func(want *wire.WantSections) *wire.Sections { return offered(k, want) },
			Timing:   func() link.Timing { return link.TimingFor(len(sides)) },
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, "tcp", address)
				return sample.Count(conn, &f.bytes), err
			},
		}
		own = append(own, c)
		running.Go(func() { c.Run(ctx) })
	}
	f.clients = append(f.clients, own...)
	running.Go(func() {
		for {
			changed := k.Changed()
			for _, c := range own {
				c.BeatNow()
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	})
}

func offered(k *config.Keeper, want *wire.WantSections) *wire.Sections {
	all, version, digest := k.SideSections()
	if version < want.Version || version == 0 {
		return nil
	}
	answer := &wire.Sections{Version: version, Digest: digest}
	for _, s := range bundle.Missing(all, want.Have) {
		answer.Sections = append(answer.Sections, &wire.Section{Name: s.Name, Digest: s.Digest, Content: s.Content})
	}
	return answer
}

// await waits until all nodes run the version, and returns when the last one did.
func (f *spreadFleet) await(version int64) (time.Time, error) {
	deadline := time.Now().Add(20 * time.Second)
	last := time.Time{}
	for _, n := range f.nodes {
		for {
			if s := n.Current(); s != nil && s.Version >= version {
				if s.Since.After(last) {
					last = s.Since
				}
				break
			}
			if time.Now().After(deadline) {
				return last, fmt.Errorf("version %d was not in force everywhere after 20 s", version)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return last, nil
}

// Spread gives the time from the log's acceptance of a bundle until it is in force on every node.
func Spread(r *meter.Report) error {
	const changes, teams = 20, 200
	var median, worst, bytes, cpuTime []meter.Point
	for _, n := range []int{10, 50, 200} {
		f, err := startFleet(n)
		if err != nil {
			return err
		}
		times, err := f.publish(changes, teams)
		if err != nil {
			f.stop()
			return err
		}
		size := float64(n)
		median = append(median, meter.At(size, times.took[len(times.took)/2]))
		worst = append(worst, meter.At(size, times.took[len(times.took)-1]))
		bytes = append(bytes, meter.At(size, times.bytes/changes/size))
		cpuTime = append(cpuTime, meter.At(size, times.cpu/changes/size))
		f.stop()
	}
	r.Values("acceptance to in force on every node, 200 teams: median of 20", "ms", median...)
	r.Values("acceptance to in force on every node, 200 teams: worst of 20", "ms", worst...)
	r.Values("change: bytes on links, with the heartbeats that tell of it", "B per node", bytes...)
	r.Values("change: CPU of all nodes, and of the publishing", "us per node", cpuTime...)
	return nil
}

type spreadTimes struct {
	took       []float64
	bytes, cpu float64
}

func (f *spreadFleet) publish(changes, teams int) (*spreadTimes, error) {
	t := &spreadTimes{}
	if _, err := f.keepers[0].Publish(f.signer.Document(sample.Bundle(0, teams, 600)), "ann"); err != nil {
		return nil, err
	}
	if _, err := f.await(1); err != nil {
		return nil, err
	}
	for i := range changes {
		document := f.signer.Document(sample.Bundle(int64(i)+1, teams, 601+i))
		k := f.keepers[i%len(f.keepers)]
		sent, used := f.bytes.Load(), meter.CPU()
		if _, err := k.Publish(document, "ann"); err != nil {
			return nil, err
		}
		accepted := f.log.AppendedAt()
		last, err := f.await(int64(i) + 2)
		if err != nil {
			return nil, err
		}
		t.took = append(t.took, float64(last.Sub(accepted).Microseconds())/1000)
		t.bytes += float64(f.bytes.Load() - sent)
		t.cpu += float64((meter.CPU() - used).Microseconds())
	}
	slices.Sort(t.took)
	return t, nil
}
