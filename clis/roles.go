//go:build !lean

package clis

import (
	"context"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/entry"
	"github.com/sardinerock/sardinerock/remote"
	"github.com/sardinerock/sardinerock/side"
)

func (p *Program) addRoles() {
	e := &conf.Entry{}
	p.add(&p.parser.Subcommand, "entry", "run an entry: takes callers' requests and jobs", e,
		func(ctx context.Context) error { return p.runEntry(ctx, e) })
	s := &conf.Side{}
	p.add(&p.parser.Subcommand, "side", "run a side: the gate beside one backend server", s,
		func(ctx context.Context) error { return p.runSide(ctx, s) })
}

func (p *Program) runEntry(ctx context.Context, s *conf.Entry) error {
	callers, err := conf.Listen("caller-address", s.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := conf.Listen("peer-address", s.PeerAddress)
	if err != nil {
		return err
	}
	events, stop := newLogger(p.Err, s.LogLevel, s.ID)
	defer stop()
	e := &entry.Entry{
		ID:              s.ID,
		Region:          s.Region,
		Zone:            s.Zone,
		CallerListener:  callers,
		PeerListener:    peers,
		Log:             &remote.Log{Sender: remote.Sender{URL: s.LogURL}},
		Instances:       &remote.Instances{Sender: remote.Sender{URL: s.InstancesURL}},
		Shards:          s.Shards,
		Seed:            s.Seed,
		Signers:         s.Keys,
		SignOffsNeeded:  s.SignOffsNeeded,
		Policy:          s.Policy,
		Events:          events,
		ShutdownTimeout: s.ShutdownTimeout,
		AppendBudget:    s.AppendBudget,
	}
	return e.Run(ctx)
}

func (p *Program) runSide(ctx context.Context, s *conf.Side) error {
	l, err := conf.Listen("address", s.Address)
	if err != nil {
		return err
	}
	events, stop := newLogger(p.Err, s.LogLevel, s.ID)
	defer stop()
	r := &side.Side{
		ID:              s.ID,
		Region:          s.Region,
		Zone:            s.Zone,
		Listener:        l,
		Service:         s.ServiceName,
		Instances:       instances(s.InstancesURL),
		Signers:         s.Keys,
		SignOffsNeeded:  s.SignOffsNeeded,
		Policy:          s.Policy,
		Events:          events,
		ShutdownTimeout: s.ShutdownTimeout,
	}
	if s.ServiceURL != "" {
		r.Plain = &remote.Service{Sender: remote.Sender{URL: s.ServiceURL}}
	} else {
		r.Engine = &remote.Engine{Sender: remote.Sender{URL: s.EngineURL}}
	}
	return r.Run(ctx)
}

func instances(url string) sardinerock.InstanceList {
	if url == "" {
		return nil
	}
	return &remote.Instances{Sender: remote.Sender{URL: url}}
}
