package clis

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/sardinerock/sardinerock/story"
)

// explain tells the story of a request, job or item from log files, or from standard input.
func (p *Program) addExplain() {
	var id, files string
	c := p.add(&p.parser.Subcommand, "explain", "tell what became of a request, batch job or item, from log files", nil,
		func(context.Context) error { return p.explain(id, files) })
	c.sub.AddPositionalValue(&id, "ID", 1, true, "id of the request, job or item")
	c.sub.AddPositionalValue(&files, "FILES", 2, false, "log files, a comma between two; standard input if there are none")
}

func (p *Program) explain(id, files string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	chosen := story.Select(lines, id)
	if len(chosen) == 0 {
		return fmt.Errorf("no line is about %s; read the logs of all entries, and mind that lines over the budget are dropped", id)
	}
	return story.Tell(p.Out, chosen, id)
}

func readLogs(files string) ([]story.Line, error) {
	if files == "" {
		return story.Read(os.Stdin)
	}
	var all []story.Line
	for name := range strings.SplitSeq(files, ",") {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := story.Read(f)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
