//go:build !lean

package clis

import (
	"context"
	"strings"

	"github.com/sardinerock/sardinerock/bench"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/demo"
	"github.com/sardinerock/sardinerock/losses"
	"github.com/sardinerock/sardinerock/trace"
)

func (p *Program) addBench() {
	p.add(&p.parser.Subcommand, "demo", "run a demo of a whole fleet in one process on loopback, in which a backend server is killed", nil,
		func(ctx context.Context) error { return demo.Run(ctx, p.Out) })
	replay := &conf.Replay{}
	p.add(&p.parser.Subcommand, "replay", "play a trace, alone, with batch and under a baseline, and write a report", replay,
		func(ctx context.Context) error { return p.replay(ctx, replay) })
	traces := &conf.Traces{}
	p.add(&p.parser.Subcommand, "traces", "print a generated trace, the same for the same seed", traces,
		func(context.Context) error { return p.traces(traces) })
}

func (p *Program) replay(ctx context.Context, s *conf.Replay) error {
	r := &bench.Replay{
		Trace:           s.Trace,
		Report:          s.Report,
		Entries:         s.Entries,
		Policy:          strings.TrimPrefix(s.Policy, conf.PolicyNone),
		BaselineEntries: s.BaselineEntries,
		Length:          s.Length,
		Out:             p.Out,
	}
	return r.Run(ctx)
}

func (p *Program) traces(s *conf.Traces) error {
	t, err := trace.Generate(s.Deployment, s.Seed, s.Length)
	if err != nil {
		return err
	}
	return t.Write(p.Out)
}

func drawLosses(r *losses.Report, name string) error { return bench.DrawLosses(r, name) }
