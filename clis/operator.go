//go:build !lean

package clis

import (
	"context"

	"github.com/sardinerock/sardinerock/admin"
	"github.com/sardinerock/sardinerock/conf"
)

func (p *Program) addOperators() {
	var file, job string
	publish, cancel, status := &conf.Operator{}, &conf.Operator{}, &conf.Operator{}
	c := p.add(&p.parser.Subcommand, "publish", "publish a bundle", publish,
		func(ctx context.Context) error { return admin.Publish(ctx, publish, file, p.Out) })
	c.sub.AddPositionalValue(&file, "FILE", 1, true, "bundle in JSON or YAML")
	c = p.add(&p.parser.Subcommand, "cancel", "cancel a batch job", cancel,
		func(ctx context.Context) error { return admin.Cancel(ctx, cancel, job, p.Out) })
	c.sub.AddPositionalValue(&job, "JOB", 1, true, "id of the job")
	p.add(&p.parser.Subcommand, "status", "show the bundle in force, backend servers, processes and jobs", status,
		func(ctx context.Context) error { return admin.Status(ctx, status, p.Out) })
}
