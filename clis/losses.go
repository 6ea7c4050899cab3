package clis

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/sardinerock/sardinerock/audit"
	"github.com/sardinerock/sardinerock/losses"
)

// addLosses adds the command that reports late, refused and failed requests from the logs of
// all entries.
func (p *Program) addLosses() {
	var files, plot string
	var asJSON bool
	c := p.add(&p.parser.Subcommand, "losses", "report requests and items that were late, refused or failed, by cause, entry and second, from log files", nil,
		func(context.Context) error { return p.losses(files, plot, asJSON) })
	c.sub.AddPositionalValue(&files, "FILES", 1, false, "log files of all entries, separated by commas; standard input if there are none")
	c.sub.Bool(&asJSON, "", "json", "write JSON instead of text")
	c.sub.String(&plot, "", "plot", "also plot the losses by second to this file; its extension selects SVG or PNG")
}

func (p *Program) losses(files, plot string, asJSON bool) error {
	lines, problems, err := readLogs(files)
	if err != nil {
		return err
	}
	r := losses.Make(lines, problems)
	if plot != "" {
		if err := drawLosses(r, plot); err != nil {
			return err
		}
	}
	if asJSON {
		return r.WriteJSON(p.Out)
	}
	return r.WriteText(p.Out)
}

// readLogs returns the lines of comma-separated log files, or of standard input if files is
// empty, and the problems found in them.
func readLogs(files string) ([]audit.Line, []audit.Problem, error) {
	if files == "" {
		return audit.ReadFile("standard input", os.Stdin)
	}
	var all []audit.Line
	var allProblems []audit.Problem
	for name := range strings.SplitSeq(files, ",") {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, err
		}
		lines, problems, err := audit.ReadFile(name, f)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		all, allProblems = append(all, lines...), append(allProblems, problems...)
	}
	return all, allProblems, nil
}
