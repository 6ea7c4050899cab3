//go:build !lean

package clis

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/launch"
)

func (p *Program) addStandins() {
	parent := flaggy.NewSubcommand("standin")
	parent.Description = "run a stand-in for a service of the platform, for trials and tests"
	p.parser.AttachSubcommand(parent, 1)
	l := &conf.Standin{}
	p.add(parent, "log", "stand-in of the log service", l,
		func(ctx context.Context) error { return launch.Log(ctx, l) })
	i := &conf.StandinInstances{}
	p.add(parent, "instances", "stand-in of the instance list", i,
		func(ctx context.Context) error { return launch.Instances(ctx, i) })
	w := &conf.Standin{}
	p.add(parent, "weights", "stand-in of the weight store", w,
		func(ctx context.Context) error { return launch.Weights(ctx, w) })
	e := &conf.StandinEngine{}
	p.add(parent, "engine", "stand-in of a model engine", e,
		func(ctx context.Context) error { return launch.Engine(ctx, e, p.Err) })
	s := &conf.StandinService{}
	p.add(parent, "service", "stand-in of a plain service", s,
		func(ctx context.Context) error { return launch.Service(ctx, s) })
}
