package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/sardinerock/sardinerock/capa/batch"
	"github.com/sardinerock/sardinerock/capa/fleets"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/nodes"
)

// part is one group of measurements that can be run by itself.
type part struct {
	name string
	run  func(r *meter.Report) error
}

var parts = []part{
	{"link", nodes.Links},
	{"tokens", nodes.Tokens},
	{"ping", nodes.Pings},
	{"bundle", nodes.Bundles},
	{"list", nodes.List},
	{"member", nodes.Members},
	{"place", nodes.Placement},
	{"route", nodes.Routing},
	{"gate", nodes.Gate},
	{"log", batch.Adapter},
	{"jobs", batch.Jobs},
	{"spread", fleets.Spread},
	{"whole", fleets.Whole},
	{"processes", processes},
}

// program is the path of the program whose processes are measured.
var program string

func processes(r *meter.Report) error {
	if program == "" {
		fmt.Fprintln(os.Stderr, "capa: part processes left out: --program names no program")
		return nil
	}
	return fleets.Processes(r, program)
}

func main() {
	only := ""
	flaggy.SetName("capa")
	flaggy.SetDescription("measures the slopes of docs/CAPACITY.md")
	flaggy.String(&only, "o", "only", "comma-separated parts to run: "+partNames()+"; all when empty")
	flaggy.String(&program, "p", "program", "path of the program whose processes are measured; that part is left out when empty")
	flaggy.Parse()
	r := &meter.Report{Out: os.Stdout}
	for _, p := range parts {
		if only != "" && !slices.Contains(strings.Split(only, ","), p.name) {
			continue
		}
		started := time.Now()
		if err := p.run(r); err != nil {
			fmt.Fprintf(os.Stderr, "capa: part %s: %v\n", p.name, err)
			os.Exit(1)
		}
		fmt.Fprintf(os.Stderr, "capa: part %s took %.1f s\n", p.name, time.Since(started).Seconds())
	}
}

func partNames() string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.name
	}
	return strings.Join(names, ", ")
}
