package clis

import (
	"context"
	"fmt"
	"os"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/node"
	"github.com/sardinerock/sardinerock/platform"
)

// This project's own topics in the platform's store. The suffix is the version of their
// record format, so that a program with another format doesn't read them.
const (
	membersTopic  = "members2"
	jobsTopic     = "jobs2"
	workTopic     = "work2"
	versionsTopic = "versions"
	streamsTopic  = "streams"
	verdictsTopic = "verdicts"
	bodiesTopic   = "bodies2"
	resultsTopic  = "results2"
	progressTopic = "progress2"
)

// nodeSettings are the settings of the node command that aren't in the settings file.
type nodeSettings struct {
	File     string `flag:"settings" env:"NODE_FILE" help:"settings file of the platform"`
	LogLevel string `flag:"log-level" env:"NODE_LOG_LEVEL" envDefault:"info" help:"least level of log lines: debug, info, warn, error"`
}

func (p *Program) addNode() {
	s := &nodeSettings{}
	p.add(&p.parser.Subcommand, "node", "run an entry on the users' platform, with its settings file", s,
		func(ctx context.Context) error { return p.runNode(ctx, s) })
}

// checkNode validates a settings file of the platform and prints its main settings.
func (p *Program) checkNode(file string) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.Out, "%s is usable: entry %s in %s, callers at %s, store at %s, metrics at http://%s/metrics\n",
		file, s.ID, s.Zone, s.CallerAddress, s.StoreAddress, s.MetricsAddress)
	return nil
}

func (p *Program) runNode(ctx context.Context, s *nodeSettings) error {
	if s.File == "" {
		return fmt.Errorf("--settings (%s) is missing; give the path of the settings file", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(s.File)
	if err != nil {
		return err
	}
	events, stop := newLogger(os.Stdout, s.LogLevel, settings.ID)
	events.Budget = event.NewBudget()
	defer stop()
	registry := metrics.NewRegistry()
	store := platform.NewStore(settings.StoreAddress)
	held := &budget.Held{}
	store.Metrics, store.Held = registry, held
	n := &node.Node{
		Settings:        settings,
		ReadSettings:    func() (*conf.Node, error) { return platform.ReadSettings(s.File) },
		SetStoreAddress: store.SetAddress,
		Store:           store,
		Topics: node.Topics{
			Configuration:    platform.TopicConfiguration,
			ConfigurationKey: platform.ConfigurationKey,
			Servers:          platform.TopicServers,
			Members:          platform.Topic(membersTopic),
			Jobs:             platform.Topic(jobsTopic),
			Work:             platform.Topic(workTopic),
			Versions:         platform.Topic(versionsTopic),
			Streams:          platform.Topic(streamsTopic),
			Verdicts:         platform.Topic(verdictsTopic),
			Blobs: blobs.Topics{
				Bodies:   platform.Topic(bodiesTopic),
				Results:  platform.Topic(resultsTopic),
				Progress: platform.Topic(progressTopic),
			},
		},
		Dialect:     platform.Dialect{},
		Batch:       platform.Dialect{},
		ParseTable:  platform.ParseConfiguration,
		ParseServer: platform.ParseServer,
		Events:      events,
		Metrics:     registry,
		Held:        held,
	}
	return n.Run(ctx)
}
