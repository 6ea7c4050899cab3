package clis

import (
	"context"
	"fmt"

	"github.com/sardinerock/sardinerock/audit"
)

// addExplain adds the command that reports what happened to a request, job or item, from log
// files or from standard input.
func (p *Program) addExplain() {
	var id, files string
	c := p.add(&p.parser.Subcommand, "explain", "explain what happened to a request, batch job or item, from log files", nil,
		func(context.Context) error { return p.explain(id, files) })
	c.sub.AddPositionalValue(&id, "ID", 1, true, "id of the request, job or item")
	c.sub.AddPositionalValue(&files, "FILES", 2, false, "log files, separated by commas; standard input if there are none")
}

func (p *Program) explain(id, files string) error {
	lines, _, err := readLogs(files)
	if err != nil {
		return err
	}
	chosen := audit.Select(lines, id)
	if len(chosen) == 0 {
		return fmt.Errorf("no log line mentions %s; pass the logs of all entries (lines over the log budget were dropped and can't be found)", id)
	}
	return audit.WriteText(p.Out, chosen, id)
}
