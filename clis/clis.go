package clis

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/sardinerock/sardinerock/conf"
)

const programName = "sardinerock"

// The exit codes: success, failure of the command, invalid arguments or settings.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Program is one invocation of the command line.
type Program struct {
	// Args are the arguments after the program's name.
	Args []string
	// Out gets the results of commands, Err errors and logs.
	Out io.Writer
	Err io.Writer

	parser   *flaggy.Parser
	commands []*command
}

// checker is implemented by settings that validate themselves.
type checker interface{ Check() error }

// command is one subcommand.
type command struct {
	// name is the command's name, preceded by that of its parent command if there is one.
	name string
	sub  *flaggy.Subcommand
	// bound holds the settings; nil for a command without any.
	bound *conf.Binding
	run   func(ctx context.Context) error
}

// Run runs the subcommand that the arguments name and returns the exit code. SIGTERM and
// SIGINT cancel the context of the subcommand.
func (p *Program) Run() int {
	p.prepare()
	if err := p.parser.ParseArgs(p.Args); err != nil {
		return p.fail(err, exitUsage)
	}
	c := p.usedCommand()
	if c == nil {
		p.parser.ShowHelp()
		return exitUsage
	}
	if err := p.readSettings(c); err != nil {
		return p.fail(err, exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Restores the default handling after the first signal, so that a second one kills the
	// process if its shutdown takes too long.
	context.AfterFunc(ctx, stop)
	if err := c.run(ctx); err != nil {
		return p.fail(err, exitFailed)
	}
	return exitOK
}

func (p *Program) fail(err error, code int) int {
	fmt.Fprintf(p.Err, programName+": %v\n", err)
	return code
}

func (p *Program) usedCommand() *command {
	for _, c := range p.commands {
		if c.sub.Used {
			return c
		}
	}
	return nil
}

func (p *Program) readSettings(c *command) error {
	if err := conf.UnknownVariables(p.settings()); err != nil {
		return err
	}
	if c.bound == nil {
		return nil
	}
	if err := c.bound.Fill(); err != nil {
		return err
	}
	if s, ok := c.bound.Settings.(checker); ok {
		return s.Check()
	}
	return nil
}

// settings returns the settings of all subcommands.
func (p *Program) settings() []conf.Setting {
	var all []conf.Setting
	for _, c := range p.commands {
		if c.bound != nil {
			all = append(all, conf.Settings(c.bound.Settings)...)
		}
	}
	return all
}

func (p *Program) prepare() {
	p.parser = flaggy.NewParser(programName)
	p.parser.Description = "Serves online and batch inference of language models on one fleet."
	p.parser.Version = version()
	p.parser.ShowCompletion = false
	p.addRoles()
	p.addNode()
	p.addExplain()
	p.addLosses()
	p.addOperators()
	p.addBundles()
	p.addStandins()
	p.addBench()
}

// add attaches a subcommand to the parser or, for the commands of "standin", to that subcommand.
func (p *Program) add(parent *flaggy.Subcommand, name, description string, settings any, run func(context.Context) error) *command {
	c := &command{name: strings.TrimPrefix(parent.Name+" "+name, programName+" "), sub: flaggy.NewSubcommand(name), run: run}
	c.sub.Description = description
	if settings != nil {
		c.bound = conf.Bind(c.sub, settings)
	}
	parent.AttachSubcommand(c.sub, 1)
	p.commands = append(p.commands, c)
	return c
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
